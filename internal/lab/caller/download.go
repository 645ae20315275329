package caller

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/client"

	"github.com/beamdoor/beamdoor/internal/lab/backend"
)

const (
	blockExponent = blockwise.SZX1024
	// refusedWait is how long a refused download waits before it goes on.
	refusedWait = time.Second
)

func (l *Load) runDownloads(ctx context.Context, stop time.Time) {
	for number := 0; time.Now().Before(stop); number++ {
		l.download(ctx, fmt.Sprintf("name=certificate-%d", number))
		time.Sleep(l.exponential(downloadRate))
	}
}

// downloadRate is the rate a second at which the next download begins.
const downloadRate = 4

// download fetches one document and checks that it is whole.
func (l *Load) download(ctx context.Context, name string) {
	connection, err := l.dial(l.settings.Documents)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	attempt, cancel := context.WithTimeout(ctx, 2*requestGrace)
	defer cancel()
	start := time.Now()
	content, err := fetchBlocks(attempt, connection, name)
	problem := ""
	switch {
	case err != nil:
		problem = fmt.Sprintf("%v after %d bytes, begun at %s from %s", err, len(content), start.Format(time.StampMilli), connection.LocalAddr())
	case !bytes.Equal(content, backend.Document(name)):
		problem = fmt.Sprintf("%d bytes with wrong content", len(content))
	}
	l.report.Download(problem, time.Since(start))
}

// fetchBlocks asks for one block after the other (RFC 7959, section 2.4). The
// client library does so by itself, but does not retransmit the requests for
// the blocks after the first.
func fetchBlocks(ctx context.Context, connection *client.Conn, name string) ([]byte, error) {
	var content, etag []byte
	for number := int64(0); ; number++ {
		response, err := fetchBlock(ctx, connection, name, number)
		if err != nil {
			return content, err
		}
		tag, err := response.Options().GetBytes(message.ETag)
		if err != nil || etag != nil && !bytes.Equal(tag, etag) {
			return content, fmt.Errorf("block %d is of another content", number)
		}
		etag = bytes.Clone(tag)
		body, err := response.ReadBody()
		if err != nil {
			return content, err
		}
		content = append(content, body...)
		value, err := response.Options().GetUint32(message.Block2)
		if err != nil {
			return content, err
		}
		_, got, more, err := blockwise.DecodeBlockOption(value)
		if err != nil || got != number {
			return content, fmt.Errorf("block %d came for block %d", got, number)
		}
		if !more {
			return content, nil
		}
	}
}

// fetchBlock asks for one block until it is not refused.
func fetchBlock(ctx context.Context, connection *client.Conn, name string, number int64) (*pool.Message, error) {
	block, err := blockwise.EncodeBlockOption(blockExponent, number, false)
	if err != nil {
		return nil, err
	}
	value := make([]byte, 4)
	size, err := message.EncodeUint32(value, block)
	if err != nil {
		return nil, err
	}
	for {
		response, err := connection.Get(ctx, backend.DocumentPath,
			message.Option{ID: message.URIQuery, Value: []byte(name)},
			message.Option{ID: message.Block2, Value: value[:size]})
		if err != nil {
			return nil, err
		}
		switch response.Code() {
		case codes.Content:
			return response, nil
		case codes.ServiceUnavailable:
			time.Sleep(refusedWait)
		default:
			return nil, fmt.Errorf("block %d: %v", number, response.Code())
		}
	}
}
