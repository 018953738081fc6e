package http2

import (
	"strconv"

	"golang.org/x/net/http2"

	"terntray/internal/replicaproto"
)

// takes takes a frame that came.
func (s *Session) takes(f http2.Frame) error {
	if _, first := f.(*http2.SettingsFrame); !s.settled && !first {
		return http2.ConnectionError(http2.ErrCodeProtocol) // the far side's preface is its settings (RFC 9113, 3.4)
	}
	s.idle++ // unless it brings something
	switch f := f.(type) {
	case *http2.SettingsFrame:
		return s.settings(f)
	case *http2.HeadersFrame:
		s.head.begins(f.StreamID, f.StreamEnded())
		return s.headers(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.ContinuationFrame: // the framer has seen to its place
		return s.headers(f.HeaderBlockFragment(), f.HeadersEnded())
	case *http2.DataFrame:
		return s.data(f)
	case *http2.RSTStreamFrame:
		return s.wasReset(f)
	case *http2.GoAwayFrame:
		s.goesAway(f)
	case *http2.PingFrame:
		if f.IsAck() {
			s.tell(replicaproto.Event{Kind: replicaproto.PingAnswered})
		} else {
			data := f.Data
			s.says(func() error { return s.framer.WritePing(true, data) })
		}
	case *http2.WindowUpdateFrame:
		return s.opens(f)
	case *http2.PushPromiseFrame:
		return http2.ConnectionError(http2.ErrCodeProtocol) // our settings refuse it (8.4)
	}
	return nil // priorities and what is unknown (5.5)
}

// settings takes the far side's.
func (s *Session) settings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		if !s.settled {
			return http2.ConnectionError(http2.ErrCodeProtocol)
		}
		return nil
	}
	err := f.ForeachSetting(func(v http2.Setting) error {
		if err := v.Valid(); err != nil {
			return err
		}
		switch v.ID {
		case http2.SettingEnablePush:
			if v.Val != 0 {
				return http2.ConnectionError(http2.ErrCodeProtocol) // 6.5.2
			}
		case http2.SettingMaxConcurrentStreams:
			s.most = int64(v.Val)
			s.tell(replicaproto.Event{Kind: replicaproto.CallLimit, MaxCalls: int(min(v.Val, mostWindow))})
		case http2.SettingInitialWindowSize:
			change := int64(v.Val) - s.initial
			s.initial = int64(v.Val)
			for _, st := range s.inOrder() { // those of open streams may fall below zero (6.9.2)
				if st.window += change; st.window > mostWindow {
					return http2.ConnectionError(http2.ErrCodeFlowControl)
				}
			}
		case http2.SettingMaxFrameSize:
			s.frame = int(min(v.Val, leastFrame)) // larger ones would let others wait
		case http2.SettingHeaderTableSize:
			s.encoder.SetMaxDynamicTableSizeLimit(min(v.Val, ownTable))
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.says(s.framer.WriteSettingsAck)
	if !s.settled {
		s.settled = true
		s.tell(replicaproto.Event{Kind: replicaproto.Ready})
	}
	return nil
}

// opens takes a window that grows.
func (s *Session) opens(f *http2.WindowUpdateFrame) error {
	by := int64(f.Increment)
	if f.StreamID == 0 {
		if s.window += by; s.window > mostWindow {
			return http2.ConnectionError(http2.ErrCodeFlowControl)
		}
		return nil
	}
	st := s.streams[f.StreamID]
	if st == nil {
		return s.known(f.StreamID)
	}
	if st.window += by; st.window > mostWindow {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeFlowControl}
	}
	return nil
}

// goesAway takes the far side's word that it takes nothing new: streams above its last never ran. A later word may name a
// lower one (6.8).
func (s *Session) goesAway(f *http2.GoAwayFrame) {
	if s.going && f.LastStreamID >= s.last {
		return
	}
	if s.last = f.LastStreamID; !s.going {
		s.going = true
		s.tell(replicaproto.Event{Kind: replicaproto.GoingAway, Detail: f.ErrCode.String()})
	}
	for _, st := range s.inOrder() {
		if st.id <= s.last {
			continue
		}
		e := replicaproto.Event{Kind: replicaproto.NeverRan, Attempt: st.call.Attempt, Evidence: replicaproto.AboveLast}
		if st.answered { // it contradicts itself
			e = replicaproto.Event{Kind: replicaproto.MayHaveRun, Attempt: st.call.Attempt}
		}
		s.drop(st)
		s.tell(e)
	}
}

// wasReset takes the far side's end of a stream.
func (s *Session) wasReset(f *http2.RSTStreamFrame) error {
	st := s.streams[f.StreamID]
	if st == nil {
		return s.known(f.StreamID) // its answer was whole, or we have given it up
	}
	s.drop(st)
	if f.ErrCode == http2.ErrCodeRefusedStream && !st.answered {
		s.tell(replicaproto.Event{Kind: replicaproto.NeverRan, Attempt: st.call.Attempt, Evidence: replicaproto.Refused})
		return nil
	}
	s.tell(replicaproto.Event{Kind: replicaproto.MayHaveRun, Attempt: st.call.Attempt, Detail: f.ErrCode.String()})
	return nil
}

// data takes a piece of an answer. What it took of the windows is given back, also for streams that are over.
func (s *Session) data(f *http2.DataFrame) error {
	size := int64(f.Header().Length) // padding included (6.1)
	if s.own -= size; s.own < 0 {
		return http2.ConnectionError(http2.ErrCodeFlowControl)
	}
	if s.unasked += size; s.unasked >= ownWindow/2 {
		s.gives(0, s.unasked)
		s.own, s.unasked = s.own+s.unasked, 0
	}
	st := s.streams[f.StreamID]
	if st == nil {
		return s.known(f.StreamID)
	}
	if !st.answered {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	}
	if st.own -= size; st.own < 0 {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeFlowControl}
	}
	if len(f.Data()) > 0 {
		s.idle = 0
	}
	if st.value = append(st.value, f.Data()...); len(st.value) > mostValue {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeCancel}
	}
	if f.StreamEnded() {
		return s.whole(st)
	}
	if st.unasked += size; st.unasked >= firstWindow/2 {
		s.gives(st.id, st.unasked)
		st.own, st.unasked = st.own+st.unasked, 0
	}
	return nil
}

func (s *Session) gives(stream uint32, size int64) {
	s.says(func() error { return s.framer.WriteWindowUpdate(stream, uint32(size)) })
}

// headers takes a piece of a head. All are decoded, also those of streams that are over: the tables depend on it.
func (s *Session) headers(piece []byte, last bool) error {
	if s.head.bytes += len(piece); s.head.bytes > mostBlock {
		return http2.ConnectionError(http2.ErrCodeEnhanceYourCalm)
	}
	if _, err := s.decoder.Write(piece); err != nil {
		return http2.ConnectionError(http2.ErrCodeCompression)
	}
	if !last {
		return nil
	}
	if err := s.decoder.Close(); err != nil {
		return http2.ConnectionError(http2.ErrCodeCompression)
	}
	s.head.open = false
	st := s.streams[s.head.stream]
	if st == nil {
		return s.known(s.head.stream)
	}
	return s.headOf(st)
}

// headOf takes a whole head: an interim one, the response's, or what trails it.
func (s *Session) headOf(st *stream) error {
	h := &s.head
	malformed := http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol}
	if st.answered {
		if h.bad || !h.ends || h.status != "" { // trailers are the last, without pseudo-fields (8.1)
			return malformed
		}
		if h.busy >= 0 {
			st.busy = h.busy
		}
		return s.whole(st)
	}
	if h.bad || len(h.status) != 3 {
		return malformed
	}
	status, err := strconv.Atoi(h.status)
	switch {
	case err != nil || status < 100 || status == 101:
		return malformed
	case status < 200:
		if h.ends {
			return malformed
		}
		return nil
	}
	s.idle = 0
	st.answered, st.end, st.length, st.busy = true, endOf(status, h.end), h.length, h.busy
	if h.ends {
		return s.whole(st)
	}
	return nil
}

// whole ends a stream whose answer is in.
func (s *Session) whole(st *stream) error {
	if st.length >= 0 && st.length != int64(len(st.value)) {
		return http2.StreamError{StreamID: st.id, Code: http2.ErrCodeProtocol} // 8.1.1
	}
	s.idle = 0
	if !st.sent { // it wants no more of the call
		s.reset(st, http2.ErrCodeNo)
	}
	s.drop(st)
	s.tell(replicaproto.Event{Kind: replicaproto.Reply, Attempt: st.call.Attempt, SubqueryID: st.call.SubqueryID, End: st.end, Value: st.value, Busy: st.busy})
	return nil
}
