package http2

import (
	"bytes"
	"fmt"
	"testing"

	"golang.org/x/net/http2"
)

// A replica violates the protocol or floods the connection. Our GOAWAY carries the error code that RFC 9113 prescribes.
func TestConnectionErrors(t *testing.T) {
	for name, test := range map[string]struct {
		send func(replica *fakeReplica)
		code http2.ErrCode
	}{
		"data on an idle stream": {func(replica *fakeReplica) {
			replica.framer.WriteData(9, true, []byte("x"))
		}, http2.ErrCodeProtocol},
		"response on an even stream ID": {func(replica *fakeReplica) {
			replica.writeHeaders(2, true, ":status", "200")
		}, http2.ErrCodeProtocol},
		"push": {func(replica *fakeReplica) {
			replica.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		}, http2.ErrCodeProtocol},
		"push enabled": {func(replica *fakeReplica) {
			replica.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 1})
		}, http2.ErrCodeProtocol},
		"window update overflow": {func(replica *fakeReplica) {
			replica.framer.WriteWindowUpdate(0, maxWindow)
		}, http2.ErrCodeFlowControl},
		"initial window too large": {func(replica *fakeReplica) {
			replica.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
		}, http2.ErrCodeFlowControl},
		"window update of 0": {func(replica *fakeReplica) {
			replica.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4))
		}, http2.ErrCodeProtocol},
		"frame too large": {func(replica *fakeReplica) {
			replica.framer.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, maxFrameSize+1))
		}, http2.ErrCodeFrameSize},
		"continuation without headers": {func(replica *fakeReplica) {
			replica.framer.WriteContinuation(1, true, nil)
		}, http2.ErrCodeProtocol},
		"headers interrupted by another frame": {func(replica *fakeReplica) {
			replica.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			replica.framer.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol},
		"invalid header compression": {func(replica *fakeReplica) {
			replica.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true,
			})
		}, http2.ErrCodeCompression},
		"endless headers": {func(replica *fakeReplica) {
			replica.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 4 {
				replica.framer.WriteContinuation(1, false, bytes.Repeat([]byte{0x88}, maxFrameSize-1))
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"settings flood": {func(replica *fakeReplica) {
			for range 2 * maxIdleFrames {
				replica.framer.WriteSettings()
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"ping flood": {func(replica *fakeReplica) {
			for range 2 * maxIdleFrames {
				replica.framer.WritePing(false, [8]byte{})
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"reset flood": {func(replica *fakeReplica) {
			for range 2 * maxIdleFrames {
				replica.framer.WriteRSTStream(1, http2.ErrCodeCancel)
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"flood of empty data frames": {func(replica *fakeReplica) {
			replica.writeHeaders(1, false, ":status", "200")
			for range 2 * maxIdleFrames {
				replica.framer.WriteData(1, false, nil)
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"data beyond the window": {func(replica *fakeReplica) {
			replica.session.receiveWindow.available = 10 // as if the rest had been used
			replica.framer.WriteData(1, false, make([]byte, 11))
		}, http2.ErrCodeFlowControl},
	} {
		replica := newFakeReplica(t)
		replica.queueCall(0, 1)
		replica.sentFrames()
		test.send(replica)
		replica.feed()
		replica.session.AnnounceClose()
		got := replica.sentFrames()
		want := fmt.Sprint("goaway ", test.code)
		if replica.err == nil || len(got) == 0 || got[len(got)-1] != want {
			t.Errorf("%s: error %v, last frames %q, want %q", name, replica.err, got, want)
		}
	}
	replica := &fakeReplica{t: t, session: New("http", "a:1", nil)}
	replica.framer = http2.NewFramer(&replica.toSession, &replica.fromSession)
	replica.framer.WritePing(false, [8]byte{})
	if replica.feed(); replica.err == nil {
		t.Error("a first frame other than SETTINGS was accepted")
	}
}
