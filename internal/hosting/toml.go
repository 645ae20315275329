package hosting

import (
	"math"
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/beamdoor/beamdoor/internal/directory"
)

// tomlTag is the tag that names the member of a struct's field.
const tomlTag = "toml"

// DecodeTOML reads a TOML text into a struct whose fields have tags, and returns
// every member of the wrong type as directory.Problems. What can be read is read all
// the same; members without a field are left out. whole is false when the text is
// no TOML and nothing was read.
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

// tomlReader reads one member after the other, so that a wrong one hides no other.
type tomlReader struct {
	meta  toml.MetaData
	check *directory.Check
}

// table reads the members of a table into a struct.
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

// setInteger takes a whole number that is written with a point, as platforms write numbers
// that they have computed.
func setInteger(value any, into reflect.Value) bool {
	number, isNumber := value.(float64)
	if !isNumber || !into.CanInt() || number != math.Trunc(number) || math.Abs(number) >= 1<<63 || into.OverflowInt(int64(number)) {
		return false
	}
	into.SetInt(int64(number))
	return true
}

// isEmpty reports whether a member stands there without a value. A platform may write
// so what it has nothing to say about.
func isEmpty(value any) bool {
	list, isList := value.([]any)
	return value == "" || isList && len(list) == 0
}

func isTable(wanted reflect.Kind) bool { return wanted == reflect.Struct || wanted == reflect.Map }

// fits reports whether a value is a table where one is wanted: the TOML package reads
// whatever else stands there as an empty one.
func fits(value any, wanted reflect.Kind) bool {
	_, given := value.(map[string]any)
	return given || !isTable(wanted)
}

func (r tomlReader) note(field string, value any, wanted reflect.Value) {
	r.check.Add(directory.NewProblem(field, value, "must be "+kindOf(wanted.Type())))
}

// memberNamed finds a member as the TOML package does: by its name or, failing that,
// by its name in letters of any case.
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

// kindOf names a type in the words of a TOML file.
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
