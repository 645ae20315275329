package steer

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/beamdoor/beamdoor/internal/directory"
)

func TestAnnouncedMemberIsTriedFirst(t *testing.T) {
	members := []directory.Member{
		{ID: 1, Address: "10.0.0.1:1", Zone: "north"},
		{ID: 2, Address: "10.0.0.2:1", Zone: "south"},
		{ID: 3, Address: "10.0.0.3:1", Zone: "north"},
	}
	cases := []struct {
		name    string
		known   []directory.Member
		from    string
		members []directory.Member
		first   string
		length  int
	}{
		{"local member announces", nil, "10.0.0.3:1", members, "10.0.0.3:1", 4},
		{"remote member announces", nil, "10.0.0.2:1", members, "10.0.0.2:1", 4},
		{"members already known", members[:1], "10.0.0.3:1", members, "", 0},
		{"empty announcement", nil, "10.0.0.3:1", nil, "", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			list := NewMemberList("north")
			list.Seeds = []string{"10.0.0.9:1"}
			list.Members = test.known
			order := list.ApplyAnnouncement(test.from, test.members)
			assert.Len(t, order, test.length)
			if test.length > 0 {
				assert.Equal(t, test.first, order[0].Address)
			}
		})
	}
}
