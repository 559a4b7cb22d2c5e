package leasing

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/lease"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// Type names of the handoff messages.
const (
	transferType    = "leasing.transfer"
	transferAckType = "leasing.transfer-ack"
)

// transfer sends the idempotency records of a slice to the slice's next holder
// and announces the slice there.
type transfer struct {
	Release lease.Release `codec:"r"`
	Data    []byte        `codec:"d"`
}

// transferAck confirms that the receiver has imported the idempotency records.
type transferAck struct {
	Release lease.Release `codec:"r"`
}

// IsMessage reports whether a control message is for a Controller.
func IsMessage(m mesh.Message) bool {
	return m.Type == transferType || m.Type == transferAckType || lease.IsMessage(m.Type)
}

func encodeHandoff(name string, v any) (mesh.Message, error) {
	data, err := codec.Marshal(v)
	if err != nil {
		return mesh.Message{}, fmt.Errorf("leasing: encode %s: %w", name, err)
	}
	return mesh.Message{Type: name, Data: data}, nil
}

func decodeTransfer(m mesh.Message) (transfer, error) {
	var t transfer
	if err := codec.Unmarshal(m.Data, &t); err != nil {
		return transfer{}, fmt.Errorf("leasing: decode %s: %w", m.Type, err)
	}
	return t, nil
}

func decodeTransferAck(m mesh.Message) (transferAck, error) {
	var a transferAck
	if err := codec.Unmarshal(m.Data, &a); err != nil {
		return transferAck{}, fmt.Errorf("leasing: decode %s: %w", m.Type, err)
	}
	return a, nil
}

// exportRecords returns one transfer message per slice of the move.
func (c *Controller) exportRecords(m *move) ([]transfer, error) {
	var out []transfer
	for _, r := range m.allReleases() {
		data, err := c.Idempotency.ExportSlice(r.Slice)
		if err != nil {
			return nil, fmt.Errorf("leasing: export idempotency records of slice %s: %w", r.Slice, err)
		}
		out = append(out, transfer{Release: r, Data: data})
	}
	return out, nil
}

// transferRecords sends the messages every RetryEvery until the receiver has
// confirmed all of them.
func (c *Controller) transferRecords(ctx context.Context, m *move, messages []transfer) error {
	missing := map[lease.Release]transfer{}
	for _, t := range messages {
		missing[t.Release] = t
	}
	repeat := time.NewTicker(c.config.RetryEvery)
	defer repeat.Stop()
	if err := c.sendTransfers(m, missing); err != nil {
		return err
	}
	for len(missing) > 0 {
		select {
		case r := <-m.acks.C():
			delete(missing, r)
		case <-repeat.C:
			if err := c.sendTransfers(m, missing); err != nil {
				return err
			}
		case <-ctx.Done():
			return errkind.New(errkind.PeerUnreachable, "move: no answer from %s: %w", m.receiver, ctx.Err())
		}
	}
	return nil
}

func (c *Controller) sendTransfers(m *move, missing map[lease.Release]transfer) error {
	for _, t := range missing {
		msg, err := encodeHandoff(transferType, t)
		if err != nil {
			return err
		}
		c.send(m.receiver, msg)
	}
	return nil
}

// onTransfer imports the idempotency records of a slice that moves to this
// daemon, lets requests for the slice wait, and confirms the transfer.
func (c *Controller) onTransfer(in inboundMessage) {
	t, err := decodeTransfer(in.m)
	if err != nil {
		c.Log.Warn("transfer_invalid", zap.Stringer("from", in.from), zap.Error(err))
		return
	}
	if err := c.Idempotency.ImportSlice(t.Release.Slice, t.Data); err != nil {
		c.Log.Warn("transfer_not_imported", zap.Stringer("slice", t.Release.Slice), zap.Error(err))
		return
	}
	c.announcedUntil[t.Release.Slice] = c.clock.Now().Add(c.config.ArrivalWait)
	ack, err := encodeHandoff(transferAckType, transferAck{Release: t.Release})
	if err != nil {
		c.Log.Error("transfer_not_confirmed", zap.Error(err))
		return
	}
	c.send(in.from, ack)
}

func (c *Controller) onTransferAck(in inboundMessage) {
	a, err := decodeTransferAck(in.m)
	if err != nil {
		c.Log.Warn("transfer_confirmation_invalid", zap.Stringer("from", in.from), zap.Error(err))
		return
	}
	if m := c.moves[a.Release.Slice]; m != nil && m.receiver == in.from {
		m.acks.Put(context.Background(), a.Release)
	}
}
