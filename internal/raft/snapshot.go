package raft

import "github.com/beamdoor/beamdoor/internal/kernel"

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	index uint64
	term  uint64
	data  []byte
}

// sendSnapshot starts a snapshot transfer, or resends the current chunk on a heartbeat
// if the member has not replied.
func (n *Node) sendSnapshot(now kernel.Instant, id MemberID, peer *progress, heartbeat bool) {
	snapshot := n.log.snapshot
	fresh := peer.snapshotIndex != snapshot.Index
	if fresh {
		peer.snapshotIndex = snapshot.Index
		peer.snapshotOffset = 0
	}
	if !fresh && !heartbeat {
		return
	}
	peer.lastSent = now
	n.sendChunk(now, id, peer)
}

func (n *Node) sendChunk(now kernel.Instant, id MemberID, peer *progress) {
	snapshot := n.log.snapshot
	size := uint64(len(snapshot.Data))
	start := min(peer.snapshotOffset, size)
	end := min(start+uint64(n.settings.ChunkSize), size)
	n.send(Message{
		Kind:       MessageSnapshot,
		To:         id,
		LogIndex:   snapshot.Index,
		LogTerm:    snapshot.Term,
		Membership: snapshot.Membership,
		Offset:     start,
		Data:       snapshot.Data[start:end],
		Last:       end == size,
		SentAt:     now,
	})
}

func (n *Node) handleSnapshot(now kernel.Instant, message Message) {
	if !n.acceptLeader(now, message) {
		return
	}
	if message.LogIndex <= n.commit {
		n.send(Message{Kind: MessageAppendReply, To: message.From, LogIndex: n.commit, SentAt: message.SentAt})
		return
	}
	incoming := &n.incoming
	if incoming.index != message.LogIndex || incoming.term != message.LogTerm || message.Offset == 0 {
		*incoming = incomingSnapshot{index: message.LogIndex, term: message.LogTerm}
	}
	if message.Offset == uint64(len(incoming.data)) {
		incoming.data = append(incoming.data, message.Data...)
		if message.Last {
			n.installSnapshot(message)
			return
		}
	}
	n.send(Message{
		Kind:     MessageSnapshotReply,
		To:       message.From,
		LogIndex: message.LogIndex,
		Offset:   uint64(len(incoming.data)),
		SentAt:   message.SentAt,
	})
}

func (n *Node) installSnapshot(message Message) {
	snapshot := Snapshot{
		Index:      message.LogIndex,
		Term:       message.LogTerm,
		Membership: message.Membership,
		Data:       n.incoming.data,
	}
	n.incoming = incomingSnapshot{}
	n.log.compact(snapshot)
	n.commit = snapshot.Index
	n.applied = snapshot.Index
	n.pendingSnapshot = &snapshot
	n.unstableFrom = 0
	if len(n.log.entries) > 0 {
		n.markUnstable(n.log.firstIndex())
	}
	n.reloadMembership()
	n.send(Message{Kind: MessageAppendReply, To: message.From, LogIndex: snapshot.Index, SentAt: message.SentAt})
}

func (n *Node) handleSnapshotReply(now kernel.Instant, message Message) {
	if n.role != Leader || message.Term != n.hard.Term {
		return
	}
	peer := n.peer(message.From)
	if message.SentAt > peer.ackedSentAt {
		peer.ackedSentAt = message.SentAt
	}
	if message.LogIndex != peer.snapshotIndex || peer.snapshotIndex != n.log.snapshot.Index {
		return
	}
	peer.snapshotOffset = message.Offset
	peer.lastSent = now
	n.sendChunk(now, message.From, peer)
}
