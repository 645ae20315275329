// Package target is the stand-in for a back end: boards and sessions with
// notifications (CoAP Observe, RFC 7641), requests that may not be repeated
// with a journal of what ran, and block-wise downloads (RFC 7959). It has a
// few slots, starts cold, sheds load, drains, and can lie about its load.
package target

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/net/blockwise"
	"github.com/plgd-dev/go-coap/v3/udp/coder"

	labv1 "github.com/beamdoor/beamdoor/api/beamdoor/lab/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/lab/v1/labv1connect"
	beamdoorv1 "github.com/beamdoor/beamdoor/api/beamdoor/v1"
	"github.com/beamdoor/beamdoor/api/beamdoor/v1/beamdoorv1connect"
	"github.com/beamdoor/beamdoor/internal/coapmsg"
	"github.com/beamdoor/beamdoor/internal/proxyheader"
	"github.com/beamdoor/beamdoor/internal/steperror"
	"github.com/beamdoor/beamdoor/internal/wire"
)

const (
	datagramSize = 2048
	socketBuffer = 4 << 20
	// acknowledgeAfter is the time after which a request that still runs gets
	// an empty acknowledgement and its answer separately.
	acknowledgeAfter = 400 * time.Millisecond
	blockSize        = 1024
	blockExponent    = 6
	// DocumentSize is the size of a document in bytes.
	DocumentSize = 24 << 10
	// coldFactor is how much longer a request takes right after the start.
	coldFactor = 3
)

// Settings are the settings of a target.
type Settings struct {
	Name    string
	Listen  string
	Admin   string
	Return  string
	Service string
	Journal string
	Slots   int
	// Queue is the number of waiting requests at which it sheds load.
	Queue       int
	ServiceTime time.Duration
	Notify      time.Duration
	ColdStart   time.Duration
	// DetectDuplicates remembers requests and does not run them again.
	DetectDuplicates bool
	Seed             uint64
}

// observation is one caller that gets notifications.
type observation struct {
	caller   netip.AddrPort
	token    []byte
	tag      wire.ForwardTag
	sequence uint32
}

// exchange identifies a request for the detection of duplicates.
type exchange struct {
	caller    netip.AddrPort
	messageID uint16
	token     string
}

// Target is a running back end.
type Target struct {
	settings Settings
	service  netip.AddrPort
	back     netip.AddrPort
	socket   *net.UDPConn
	journal  *os.File
	started  time.Time
	slots    chan struct{}
	parser   *coapmsg.Parser

	mutex        sync.Mutex
	random       *rand.Rand
	observations map[netip.AddrPort]*observation
	answers      map[exchange][]byte
	flows        map[netip.AddrPort]time.Time
	busy         int
	queued       int
	draining     bool
	messageID    uint16
	behaviour    *labv1.SetBehaviourRequest
	reports      []timedReport
	foreign      uint64
}

type timedReport struct {
	at     time.Time
	report *beamdoorv1.LoadResponse
}

var (
	_ beamdoorv1connect.TargetServiceHandler = (*Target)(nil)
	_ labv1connect.TargetLabServiceHandler   = (*Target)(nil)
)

const journalMode = 0o640

// New opens the target's socket and journal.
func New(settings Settings) (*Target, error) {
	const step = "target.open"
	listen, err := netip.ParseAddrPort(settings.Listen)
	if err != nil {
		return nil, steperror.Wrap(step, settings.Listen, err)
	}
	target := &Target{
		settings:     settings,
		started:      time.Now(),
		slots:        make(chan struct{}, settings.Slots),
		parser:       coapmsg.NewParser(),
		random:       rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		observations: map[netip.AddrPort]*observation{},
		answers:      map[exchange][]byte{},
		flows:        map[netip.AddrPort]time.Time{},
		behaviour:    &labv1.SetBehaviourRequest{},
	}
	if target.service, err = netip.ParseAddrPort(settings.Service); err != nil {
		return nil, steperror.Wrap(step, settings.Service, err)
	}
	if target.back, err = netip.ParseAddrPort(settings.Return); err != nil {
		return nil, steperror.Wrap(step, settings.Return, err)
	}
	if settings.Journal != "" {
		target.journal, err = os.OpenFile(settings.Journal, os.O_CREATE|os.O_WRONLY|os.O_APPEND, journalMode)
		if err != nil {
			return nil, steperror.Wrap(step, settings.Journal, err)
		}
	}
	if target.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, steperror.Wrap(step, settings.Listen, err)
	}
	_ = target.socket.SetReadBuffer(socketBuffer)
	return target, nil
}

// Run serves until the context ends.
func (t *Target) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.settings.Admin)
	if err != nil {
		return steperror.Wrap("target.listen", t.settings.Admin, err)
	}
	mux := http.NewServeMux()
	mux.Handle(beamdoorv1connect.NewTargetServiceHandler(t))
	mux.Handle(labv1connect.NewTargetLabServiceHandler(t))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	go t.runNotifications(ctx)
	go t.read()
	<-ctx.Done()
	_ = t.socket.Close()
	return server.Close()
}

func (t *Target) read() {
	reader := proxyheader.NewReader()
	buffer := make([]byte, datagramSize)
	for {
		size, _, err := t.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		header, payload, err := reader.Read(buffer[:size])
		if err != nil || header.Tag == nil {
			continue
		}
		if header.Destination != t.service {
			t.noteForeign()
			continue
		}
		t.receive(header, payload)
	}
}

// noteForeign records a packet of another service in the journal: the run's
// check finds it there.
func (t *Target) noteForeign() {
	t.mutex.Lock()
	t.foreign++
	t.mutex.Unlock()
	t.write("foreign", "-")
}

func (t *Target) write(kind, id string) {
	if t.journal != nil {
		fmt.Fprintf(t.journal, "%s %s %s\n", kind, t.settings.Name, id)
	}
}

func (t *Target) receive(header proxyheader.Header, payload []byte) {
	if t.parser.Parse(payload) != nil {
		return
	}
	received := t.parser.Message
	t.mutex.Lock()
	t.flows[header.Source] = time.Now()
	t.mutex.Unlock()
	switch {
	case received.Type == message.Reset:
		t.endObservation(header.Source)
	case !coapmsg.IsRequest(received.Code):
	case received.Code == codes.GET:
		t.serveGet(header, received)
	default:
		t.servePost(header, received, t.parser.DeadlineMilliseconds())
	}
}

// reply sends a message back through the fabric, with the header turned round
// and the tag of the request.
func (t *Target) reply(caller netip.AddrPort, tag wire.ForwardTag, answer message.Message) []byte {
	buffer := make([]byte, datagramSize)
	size, err := coder.DefaultCoder.Encode(answer, buffer)
	if err != nil {
		return nil
	}
	t.sendEncoded(caller, tag, buffer[:size])
	return buffer[:size]
}

func (t *Target) sendEncoded(caller netip.AddrPort, tag wire.ForwardTag, encoded []byte) {
	header := proxyheader.Header{Source: t.service, Destination: caller, Tag: &tag}
	framed, err := proxyheader.Append(nil, header)
	if err != nil {
		return
	}
	_, _ = t.socket.WriteToUDPAddrPort(append(framed, encoded...), t.back)
}

func (t *Target) nextMessageID() int32 {
	t.messageID++
	return int32(t.messageID)
}

// answerTo returns the frame of a piggybacked answer.
func answerTo(received message.Message, code codes.Code, payload []byte) message.Message {
	kind := message.Acknowledgement
	if received.Type == message.NonConfirmable {
		kind = message.NonConfirmable
	}
	return message.Message{
		Type:      kind,
		Code:      code,
		MessageID: received.MessageID,
		Token:     append([]byte(nil), received.Token...),
		Payload:   payload,
	}
}

func (t *Target) serveGet(header proxyheader.Header, received message.Message) {
	path, err := received.Options.Path()
	if err != nil {
		return
	}
	if observe, err := received.Options.Observe(); err == nil {
		t.serveObserve(header, received, observe)
		return
	}
	if path == "/document" {
		t.serveBlock(header, received)
		return
	}
	t.reply(header.Source, *header.Tag, answerTo(received, codes.Content, []byte(t.settings.Name)))
}

func (t *Target) serveObserve(header proxyheader.Header, received message.Message, observe uint32) {
	answer := answerTo(received, codes.Content, []byte(t.settings.Name+" 0"))
	t.mutex.Lock()
	if observe == 0 {
		t.observations[header.Source] = &observation{
			caller: header.Source,
			token:  append([]byte(nil), received.Token...),
			tag:    *header.Tag,
		}
		answer.Options = observeOption(1)
	} else {
		delete(t.observations, header.Source)
	}
	t.mutex.Unlock()
	t.reply(header.Source, *header.Tag, answer)
}

func observeOption(sequence uint32) message.Options {
	options, _, _ := message.Options{}.SetObserve(make([]byte, 8), sequence)
	return options
}

func (t *Target) endObservation(caller netip.AddrPort) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.observations, caller)
}

// runNotifications sends a notification to every observer at each interval.
func (t *Target) runNotifications(ctx context.Context) {
	ticker := time.NewTicker(t.settings.Notify)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.notifyAll()
		case <-ctx.Done():
			return
		}
	}
}

func (t *Target) notifyAll() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, observer := range t.observations {
		observer.sequence++
		notification := message.Message{
			Type:      message.NonConfirmable,
			Code:      codes.Content,
			MessageID: t.nextMessageID(),
			Token:     observer.token,
			Options:   observeOption(observer.sequence + 1),
			Payload:   fmt.Appendf(nil, "%s %d", t.settings.Name, observer.sequence),
		}
		t.reply(observer.caller, observer.tag, notification)
	}
}

// Document returns the content of a document, which every target of a
// service has alike.
func Document(name string) []byte {
	content := make([]byte, 0, DocumentSize)
	var counter [8]byte
	for i := uint64(0); len(content) < DocumentSize; i++ {
		binary.BigEndian.PutUint64(counter[:], i)
		content = binary.BigEndian.AppendUint64(content, xxhash.Sum64(append(counter[:], name...)))
	}
	return content
}

func (t *Target) serveBlock(header proxyheader.Header, received message.Message) {
	name := "document"
	if queries, err := received.Options.Queries(); err == nil && len(queries) > 0 {
		name = queries[0]
	}
	number := int64(0)
	if value, err := received.Options.GetUint32(message.Block2); err == nil {
		if _, asked, _, err := blockwise.DecodeBlockOption(value); err == nil {
			number = asked
		}
	}
	content := Document(name)
	start := min(int(number)*blockSize, len(content))
	end := min(start+blockSize, len(content))
	block, err := blockwise.EncodeBlockOption(blockExponent, number, end < len(content))
	if err != nil {
		return
	}
	answer := answerTo(received, codes.Content, content[start:end])
	tag := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(content))
	options, _, _ := message.Options{}.SetBytes(make([]byte, 16), message.ETag, tag)
	buffer := make([]byte, 16)
	options, _, _ = options.SetUint32(buffer, message.Block2, block)
	answer.Options = options
	t.reply(header.Source, *header.Tag, answer)
}

// servePost runs a request that may not be repeated, or refuses it before.
func (t *Target) servePost(header proxyheader.Header, received message.Message, deadline uint32) {
	id := string(bytes.Clone(received.Payload))
	key := exchange{caller: header.Source, messageID: uint16(received.MessageID), token: string(received.Token)}
	tag := *header.Tag
	t.mutex.Lock()
	if kept, repeated := t.answers[key]; repeated && t.settings.DetectDuplicates {
		t.mutex.Unlock()
		if kept != nil {
			t.sendEncoded(header.Source, tag, kept)
		}
		return
	}
	if t.queued >= t.settings.Queue {
		t.mutex.Unlock()
		t.refuse(header.Source, tag, received)
		return
	}
	t.answers[key] = nil
	t.queued++
	t.mutex.Unlock()
	received.Token = bytes.Clone(received.Token)
	received.Payload = nil
	received.Options = nil
	arrived := time.Now()
	go t.work(header.Source, tag, received, key, id, arrived, deadline)
}

func (t *Target) refuse(caller netip.AddrPort, tag wire.ForwardTag, received message.Message) {
	answer := answerTo(received, codes.ServiceUnavailable, nil)
	answer.Options, _, _ = message.Options{}.SetUint32(make([]byte, 8), message.MaxAge, 1)
	t.reply(caller, tag, answer)
}

// work waits for a slot, runs the request and answers.
func (t *Target) work(caller netip.AddrPort, tag wire.ForwardTag, received message.Message, key exchange, id string, arrived time.Time, deadline uint32) {
	acknowledged := false
	timer := time.NewTimer(acknowledgeAfter)
	defer timer.Stop()
	select {
	case t.slots <- struct{}{}:
	case <-timer.C:
		acknowledged = true
		t.acknowledge(caller, tag, received)
		t.slots <- struct{}{}
	}
	defer func() { <-t.slots }()
	t.mutex.Lock()
	t.queued--
	t.mutex.Unlock()
	if deadline > 0 && time.Since(arrived) > time.Duration(deadline)*time.Millisecond {
		t.finish(caller, tag, received, key, acknowledged, codes.ServiceUnavailable, nil)
		return
	}
	t.write("ran", id)
	t.mutex.Lock()
	t.busy++
	t.mutex.Unlock()
	time.Sleep(t.serviceTime())
	t.mutex.Lock()
	t.busy--
	t.mutex.Unlock()
	if !acknowledged && time.Since(arrived) > acknowledgeAfter {
		acknowledged = true
		t.acknowledge(caller, tag, received)
	}
	t.finish(caller, tag, received, key, acknowledged, codes.Changed, fmt.Appendf(nil, "%s %s", t.settings.Name, id))
}

func (t *Target) acknowledge(caller netip.AddrPort, tag wire.ForwardTag, received message.Message) {
	if received.Type != message.Confirmable {
		return
	}
	t.reply(caller, tag, message.Message{Type: message.Acknowledgement, Code: codes.Empty, MessageID: received.MessageID})
}

func (t *Target) finish(caller netip.AddrPort, tag wire.ForwardTag, received message.Message, key exchange, separate bool, code codes.Code, payload []byte) {
	answer := answerTo(received, code, payload)
	if separate {
		answer.Type = message.NonConfirmable
		t.mutex.Lock()
		answer.MessageID = t.nextMessageID()
		t.mutex.Unlock()
	}
	encoded := t.reply(caller, tag, answer)
	t.mutex.Lock()
	t.answers[key] = encoded
	t.mutex.Unlock()
}

// serviceTime draws the time of one request: exponential, and longer while
// the target is cold.
func (t *Target) serviceTime() time.Duration {
	t.mutex.Lock()
	drawn := time.Duration(t.random.ExpFloat64() * float64(t.settings.ServiceTime))
	t.mutex.Unlock()
	if time.Since(t.started) < t.settings.ColdStart {
		drawn *= coldFactor
	}
	return min(drawn, 8*t.settings.ServiceTime)
}

// flowIdle is the time after which the target no longer counts a flow.
const flowIdle = 30 * time.Second

// Load implements the target's API.
func (t *Target) Load(context.Context, *connect.Request[beamdoorv1.LoadRequest]) (*connect.Response[beamdoorv1.LoadResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := 0
	for caller, seen := range t.flows {
		if time.Since(seen) > flowIdle && t.observations[caller] == nil {
			delete(t.flows, caller)
			continue
		}
		open++
	}
	report := &beamdoorv1.LoadResponse{
		Ready:       !t.behaviour.NotReady && !t.draining,
		BusySlots:   uint32(t.busy),
		Queued:      uint32(t.queued),
		Connections: uint32(open),
		Shedding:    t.queued >= t.settings.Queue,
		UptimeMs:    uint64(time.Since(t.started).Milliseconds()),
	}
	if t.behaviour.Lie {
		report.BusySlots, report.Queued, report.Connections, report.Shedding = 0, 0, 0, false
	}
	return connect.NewResponse(t.lagged(report)), nil
}

// lagged returns the report that was true before the lag.
func (t *Target) lagged(report *beamdoorv1.LoadResponse) *beamdoorv1.LoadResponse {
	lag := time.Duration(t.behaviour.ReportLagMs) * time.Millisecond
	t.reports = append(t.reports, timedReport{at: time.Now(), report: report})
	for len(t.reports) > 1 && time.Since(t.reports[1].at) >= lag {
		t.reports = t.reports[1:]
	}
	return t.reports[0].report
}

// Drain implements the target's API.
func (t *Target) Drain(_ context.Context, request *connect.Request[beamdoorv1.DrainRequest]) (*connect.Response[beamdoorv1.DrainResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = request.Msg.Draining
	return connect.NewResponse(&beamdoorv1.DrainResponse{}), nil
}

// SetBehaviour implements the lab's API.
func (t *Target) SetBehaviour(_ context.Context, request *connect.Request[labv1.SetBehaviourRequest]) (*connect.Response[labv1.SetBehaviourResponse], error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.behaviour = request.Msg
	return connect.NewResponse(&labv1.SetBehaviourResponse{}), nil
}
