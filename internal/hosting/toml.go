package hosting

import (
	"math"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// tomlTag is the struct tag that holds a field's TOML key.
const tomlTag = "toml"

// DecodeTOML decodes TOML into a struct with toml tags and reports every value of the
// wrong type as a directory.Problem. Other values are still decoded, and unknown keys
// ignored. whole is false when the text is not valid TOML and nothing was decoded.
func DecodeTOML(text string, into any) (whole bool, err error) {
	var members map[string]toml.Primitive
	meta, err := toml.Decode(text, &members)
	if err != nil {
		return false, &directory.Problem{Field: "file", Reason: err.Error()}
	}
	var check directory.Check
	reader := tomlReader{meta: meta, check: &check}
	reader.table("", members, reflect.ValueOf(into).Elem())
	return true, check.Err()
}

// tomlReader decodes key by key, so that one error does not hide the others.
type tomlReader struct {
	meta  toml.MetaData
	check *directory.Check
}

// table decodes the keys of a table into a struct.
func (r tomlReader) table(prefix string, members map[string]toml.Primitive, into reflect.Value) {
	for position := range into.NumField() {
		name := into.Type().Field(position).Tag.Get(tomlTag)
		if member, present := memberNamed(members, name); present {
			r.member(prefix+name, member, into.Field(position))
		}
	}
}

func (r tomlReader) member(field string, member toml.Primitive, into reflect.Value) {
	var value any
	_ = r.meta.PrimitiveDecode(member, &value)
	if isEmpty(value) && isTable(into.Kind()) {
		return
	}
	if !fits(value, into.Kind()) {
		r.note(field, value, into)
		return
	}
	if into.Kind() != reflect.Struct {
		if r.meta.PrimitiveDecode(member, into.Addr().Interface()) != nil && !setInteger(value, into) {
			into.SetZero()
			r.note(field, value, into)
		}
		return
	}
	var members map[string]toml.Primitive
	if r.meta.PrimitiveDecode(member, &members) == nil {
		r.table(field+".", members, into)
	}
}

// setInteger stores a float without a fraction in an integer field; generated files may
// write computed integers as floats.
func setInteger(value any, into reflect.Value) bool {
	number, isNumber := value.(float64)
	if !isNumber || !into.CanInt() || number != math.Trunc(number) || math.Abs(number) >= 1<<63 || into.OverflowInt(int64(number)) {
		return false
	}
	into.SetInt(int64(number))
	return true
}

// isEmpty reports whether a value is an empty string or list, which a generated file
// may hold in place of an empty table.
func isEmpty(value any) bool {
	list, isList := value.([]any)
	return value == "" || isList && len(list) == 0
}

func isTable(wanted reflect.Kind) bool { return wanted == reflect.Struct || wanted == reflect.Map }

// fits reports whether a value is a table if the field needs one: the TOML package
// decodes any other value as an empty table without an error.
func fits(value any, wanted reflect.Kind) bool {
	_, given := value.(map[string]any)
	return given || !isTable(wanted)
}

func (r tomlReader) note(field string, value any, wanted reflect.Value) {
	r.check.Add(directory.NewProblem(field, value, "must be "+kindOf(wanted.Type())))
}

// memberNamed looks up a key as the TOML package does: first exactly, then ignoring
// case.
func memberNamed(members map[string]toml.Primitive, name string) (toml.Primitive, bool) {
	if member, present := members[name]; present {
		return member, true
	}
	for other, member := range members {
		if strings.EqualFold(other, name) {
			return member, true
		}
	}
	return toml.Primitive{}, false
}

// kindOf describes the TOML type that a Go type requires, for error messages.
func kindOf(wanted reflect.Type) string {
	switch wanted.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list, each " + kindOf(wanted.Elem())
	case reflect.Map:
		return "a table, each member " + kindOf(wanted.Elem())
	case reflect.Struct:
		return "a table"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number of its range"
	}
}
