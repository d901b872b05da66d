package detourer

import (
	"context"
	"errors"
	"io"
	"time"

	"banyanquay/internal/driver"
	"banyanquay/internal/encoder"
)

const (
	// peerProbeTimeout is how long an endpoint may take to accept the connection of a node
	// that probes it for another one.
	peerProbeTimeout = 40 * time.Millisecond
	// partBytes bounds the body's bytes in one message.
	partBytes = 16 << 10
)

// Serve makes a call for another node, directly: nodes that ask each other would do so
// without end.
func (d *Detourer) Serve(ctx context.Context, query []byte, send func(data []byte) error) {
	reply := func(m message) bool {
		data, err := encoder.CBOR(m)
		return err == nil && send(data) == nil
	}
	held, err := d.cfg.Memory.Reserve(int64(len(query)))
	if err != nil {
		// Not unable: the node makes smaller calls, and this one later.
		reply(message{Failure: &failure{Text: err.Error(), Unsent: true}})
		return
	}
	defer held.Release()
	r, err := encoder.FromCBOR[request](query)
	if err != nil {
		reply(message{Failure: unable(err.Error())})
		return
	}
	ctx, leave, ok := d.cfg.Enter(ctx)
	defer leave()
	switch {
	case !ok:
		reply(message{Failure: unable("the node is stopping")})
	case d.isCutOff():
		reply(message{Failure: unable("the node reaches no endpoint")})
	case r.Operation == sendOperation && r.Forward != nil:
		d.cfg.Counters.Stages.Add("detours_served", 1)
		d.serveSend(ctx, r, reply)
	default:
		m, err := d.serveControl(ctx, r)
		if err != nil {
			m = message{Failure: newFailure(err)}
		}
		reply(m)
	}
}

// serveSend sends a request to an endpoint and passes the answer on as it arrives.
func (d *Detourer) serveSend(ctx context.Context, r request, reply func(m message) bool) {
	answer, err := d.cfg.Direct.Send(ctx, r.Address, *r.Forward)
	if err != nil {
		if isUnsent(err) && ctx.Err() == nil {
			d.check(r.Address)
		}
		reply(message{Failure: newFailure(err)})
		return
	}
	defer answer.Body.Close()
	if !r.RawStrings && !isUTF8(answer) {
		reply(message{Failure: &failure{Text: "a header of the answer is not valid UTF-8"}})
		return
	}
	if !reply(message{Reply: &answer}) {
		return
	}
	buf := make([]byte, partBytes)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 && !reply(message{Data: buf[:n]}) {
			return
		}
		if errors.Is(err, io.EOF) {
			reply(message{End: true})
			return
		}
		if err != nil {
			reply(message{Failure: newFailure(err)})
			return
		}
	}
}

// serveControl makes any other call.
func (d *Detourer) serveControl(ctx context.Context, r request) (message, error) {
	switch {
	case r.Operation == probeOperation:
		ctx, cancel := context.WithTimeout(ctx, peerProbeTimeout)
		defer cancel()
		return message{End: true}, d.connectForPeer(ctx, r.Address)
	case r.Operation == reportOperation:
		report, err := d.cfg.Direct.Report(ctx, r.Address, r.Endpoint)
		return message{Report: &report}, err
	case r.Operation == placeOperation && r.Placement != nil:
		return message{End: true}, d.cfg.Direct.Place(ctx, r.Address, r.Endpoint, *r.Placement)
	case r.Operation == changePathOperation:
		return message{End: true}, d.cfg.Direct.ChangePath(ctx, r.Address, r.Endpoint, r.Stream, r.Path)
	default:
		return message{}, &driver.Refused{Reason: "operation", Detail: "unknown"}
	}
}
