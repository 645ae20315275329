package coapmsg

import (
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func encode(t testing.TB, encoded message.Message) []byte {
	buffer := make([]byte, 256)
	size, err := coder.DefaultCoder.Encode(encoded, buffer)
	require.NoError(t, err)
	return buffer[:size]
}

func observe(value uint32) message.Options {
	options, _, _ := message.Options{}.SetObserve(make([]byte, 8), value)
	return options
}

func TestClass(t *testing.T) {
	tests := []struct {
		name    string
		message message.Message
		want    Class
	}{
		{"get", message.Message{Code: codes.GET}, ClassSafe},
		{"observe", message.Message{Code: codes.GET, Options: observe(0)}, ClassObserve},
		{"post", message.Message{Code: codes.POST}, ClassUnsafe},
		{"put", message.Message{Code: codes.PUT}, ClassUnsafe},
		{"delete", message.Message{Code: codes.DELETE}, ClassUnsafe},
		{"acknowledgement", message.Message{Type: message.Acknowledgement}, ClassSafe},
		{"ping", message.Message{Type: message.Confirmable}, ClassPing},
		{"answer", message.Message{Code: codes.Content}, ClassSafe},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parser := NewParser()
			require.NoError(t, parser.Parse(encode(t, test.message)))
			assert.Equal(t, test.want, parser.Class())
		})
	}
}

func TestRequestKey(t *testing.T) {
	key := func(flow uint64, messageID int32, token string) uint64 {
		parser := NewParser()
		request := message.Message{Code: codes.POST, MessageID: messageID, Token: []byte(token)}
		require.NoError(t, parser.Parse(encode(t, request)))
		return parser.RequestKey(flow)
	}
	same := key(1, 2, "abc")
	assert.Equal(t, same, key(1, 2, "abc"), "a retransmission must have the same key")
	assert.NotEqual(t, same, key(2, 2, "abc"))
	assert.NotEqual(t, same, key(1, 3, "abc"))
	assert.NotEqual(t, same, key(1, 2, "abd"))
	assert.NotZero(t, same)
}

func TestResponseMatchesRequest(t *testing.T) {
	parser := NewParser()
	request := message.Message{Type: message.Confirmable, Code: codes.POST, MessageID: 77, Token: []byte("token")}
	require.NoError(t, parser.Parse(encode(t, request)))
	response := NewParser()
	require.NoError(t, response.Parse(parser.Response(codes.ServiceUnavailable, 3)))
	assert.Equal(t, message.Acknowledgement, response.Message.Type)
	assert.Equal(t, int32(77), response.Message.MessageID)
	assert.Equal(t, "token", string(response.Message.Token))
	age, err := response.Message.Options.GetUint32(message.MaxAge)
	require.NoError(t, err)
	assert.Equal(t, uint32(3), age)
}

func TestDeadlineOption(t *testing.T) {
	value := make([]byte, 4)
	size, err := message.EncodeUint32(value, 8000)
	require.NoError(t, err)
	options := message.Options{{ID: DeadlineOption, Value: value[:size]}}
	parser := NewParser()
	require.NoError(t, parser.Parse(encode(t, message.Message{Code: codes.POST, Options: options})))
	assert.Equal(t, uint32(8000), parser.DeadlineMilliseconds())
}

func TestResetOnlyForConfirmable(t *testing.T) {
	assert.Equal(t, []byte{0x70, 0, 1, 2}, Reset([]byte{0x40, 1, 1, 2}))
	assert.Nil(t, Reset([]byte{0x50, 1, 1, 2}), "not confirmable")
	assert.Nil(t, Reset([]byte{0x80, 1, 1, 2}), "unsupported version")
	assert.Nil(t, Reset([]byte{0x40, 1}), "too short")
}

func FuzzParse(f *testing.F) {
	f.Add(encode(f, message.Message{Code: codes.POST, Token: []byte("token"), Payload: []byte("x"), Options: observe(1)}))
	f.Add([]byte{0x40})
	parser := NewParser()
	f.Fuzz(func(t *testing.T, data []byte) {
		if parser.Parse(data) != nil {
			return
		}
		_ = parser.Class()
		_ = parser.DeadlineMilliseconds()
		assert.NotZero(t, parser.RequestKey(1))
		if IsRequest(parser.Message.Code) {
			assert.NotNil(t, parser.Response(codes.GatewayTimeout, 0))
		}
	})
}
