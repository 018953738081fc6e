package valuecheck

import (
	"strings"
	"testing"
	"time"
)

// received is a number of accepted values of a size.
type received struct{ count, size int }

// historyOf returns a history of accepted values.
func historyOf(groups ...received) *History {
	history := &History{}
	for _, group := range groups {
		for range group.count {
			history.accept(history.observe(valueOf(group.size)))
		}
	}
	return history
}

func valueOf(size int) []byte { return []byte(strings.Repeat("x", size)) }

// Verdicts about a value of 16 bytes follow from the sizes before it. A value that may have been cut is Uncertain for as
// long as replicas may stand still.
func TestVerdictBySizes(t *testing.T) {
	fault := func(history *History) *History {
		history.MalformedReceived()
		return history
	}
	twoSizes := func(count int) *History { return historyOf(received{count, 40}, received{count, 16}) }
	var various []received
	for size := range 300 {
		various = append(various, received{1, 100 + size})
	}
	afterFault := fault(twoSizes(100))
	for range minAfterFault / 2 {
		afterFault.accept(afterFault.observe(valueOf(40)))
		afterFault.accept(afterFault.observe(valueOf(16)))
	}
	for _, test := range []struct {
		name    string
		history *History
		content Content
		want    Verdict
		wait    time.Duration
	}{
		{"no history", nil, NoMessage, Uncertain, ConfirmationWait},
		{"no value before", historyOf(), NoMessage, Uncertain, ConfirmationWait},
		{"few of its size", historyOf(received{frequentCount - 2, 16}), NoMessage, Uncertain, ConfirmationWait},
		{"enough of its size", historyOf(received{frequentCount - 1, 16}), NoMessage, Complete, 0},
		{"enough, after a fault", fault(historyOf(received{frequentCount - 1, 16})), NoMessage, Complete, 0},
		{"a larger one once", historyOf(received{1, 40}, received{50, 16}), NoMessage, Uncertain, ConfirmationWait},
		{"a larger one once, many of its size", historyOf(received{1, 40}, received{100, 16}), NoMessage, Complete, 0},
		{"smaller ones", historyOf(received{100, 8}, received{5, 16}), NoMessage, Complete, 0},
		{"many of a larger size", historyOf(received{1000, 40}), NoMessage, Uncertain, ConfirmationWait},
		{"two sizes, few values", twoSizes(20), NoMessage, Uncertain, ConfirmationWait},
		{"two sizes", twoSizes(100), NoMessage, Plausible, 0},
		{"two sizes, after a fault", fault(twoSizes(1000)), NoMessage, Uncertain, ConfirmationWait},
		{"two sizes, long after a fault", afterFault, NoMessage, Plausible, 0},
		{"two sizes, end like a message", twoSizes(100), MayEndInMessage, Uncertain, ConfirmationWait},
		{"one size, end like a message", historyOf(received{100, 16}), MayEndInMessage, Complete, 0},
		{"one size, another message in it", historyOf(received{100, 16}), ContainsMessages, Malformed, 0},
		{"various sizes", historyOf(various...), NoMessage, Uncertain, routineWait},
		{"various sizes, after a fault", fault(historyOf(various...)), NoMessage, Uncertain, ConfirmationWait},
	} {
		judgement := test.history.judge(test.history.observe(valueOf(16)), test.content)
		if judgement.Verdict != test.want || judgement.Wait != test.wait {
			t.Errorf("%s: %+v, want verdict %d, wait %v", test.name, judgement, test.want, test.wait)
		}
	}
}

// Values that wait for their confirmation count for each other, so that the first ones of a process need not wait for long.
// One that proves malformed no longer counts.
func TestWithheldValuesConfirmEachOther(t *testing.T) {
	history := &History{}
	var observed []observation
	for range frequentCount {
		observed = append(observed, history.observe(valueOf(16)))
	}
	cut := history.observe(valueOf(8))
	for _, value := range observed {
		if got := history.judge(value, NoMessage).Verdict; got != Complete {
			t.Errorf("verdict %d about one of %d values of one size", got, frequentCount)
		}
	}
	longer := history.observe(valueOf(24))
	if got := history.judge(observed[0], NoMessage).Verdict; got != Uncertain {
		t.Errorf("verdict %d while a longer value is withheld", got)
	}
	history.retract(longer, false)
	history.retract(cut, false)
	if got := history.judge(observed[0], NoMessage).Verdict; got != Complete {
		t.Errorf("verdict %d after the longer value was retracted", got)
	}
}

// The white space behind a JSON object belongs to its value: without it the value is cut.
func TestJSONWithoutItsLastWhiteSpaceIsUncertain(t *testing.T) {
	history := &History{}
	for range frequentCount {
		history.accept(history.observe([]byte("{\"a\":[1,2]}\n")))
	}
	for value, want := range map[string]Verdict{"{\"b\":2}\n": Plausible, `{"b":2}`: Uncertain, `{"b":2`: Uncertain} {
		if got := history.judge(history.observe([]byte(value)), NoMessage).Verdict; got != want {
			t.Errorf("%q: verdict %d, want %d", value, got, want)
		}
	}
}

// The number of sizes that are counted has a bound, whatever replicas send; a frequent size is not forgotten for others.
func TestSizesAreBounded(t *testing.T) {
	history := historyOf(received{100, 16})
	for size := range 10 * maxSizes {
		history.observe(valueOf(size))
	}
	if count := len(history.sizes.bySize); count > maxSizes {
		t.Errorf("%d sizes are counted", count)
	}
	if !history.sizes.isFrequent(16) {
		t.Error("the frequent size was forgotten")
	}
}

// Sizes that no longer occur are forgotten, so that values of a smaller size need no confirmation for good.
func TestOldSizesAreForgotten(t *testing.T) {
	history := historyOf(received{3, 40}, received{4 * forgetAfter, 16})
	history.MalformedReceived()
	if got := history.judge(history.observe(valueOf(16)), NoMessage).Verdict; got != Complete {
		t.Errorf("verdict %d long after the last larger value", got)
	}
}

// Bytes behind a value that do not start a message may be its rest. They are noise where the value would no longer be text
// with them, and the value is served then, unless its own size is unusual.
func TestValueBeforeNoiseIsServed(t *testing.T) {
	settled := historyOf(received{recentValues + frequentCount, 16})
	for _, test := range []struct {
		name     string
		history  *History
		value    string
		follower string
		want     Decision
	}{
		{"noise", nil, "value", "\xff\xff", Serve},
		{"noise after a character of several bytes", nil, "valu\u00e9", "\x80", Serve},
		{"the rest of a text", nil, "value", "s", Reject},
		{"a character of several bytes", nil, "value", "\u00e9", Reject},
		{"the start of such a character", nil, "value", "\xc3", Reject},
		{"the rest of such a character", nil, "valu\xc3", "\xa9", Reject},
		{"noise behind an unusual size", settled, "value", "\xff\xff", Reject},
		{"noise that begins like a text", nil, "value", "tL\xdc\x7f\xe8\r\n", Serve},
		{"the rest of a text and a message", nil, "value", "s\x00\x90", Reject},
		{"the rest of a text and the start of a character", nil, "value", "s\xc3", Reject},
		{"a message that cannot be read", nil, "value", "\x00\x00\x02Q", Reject},
		{"the rest of a text and a message that cannot be read", nil, "value", "s\x00\x00\x02Q", Reject},
	} {
		mayBeginMessage := func(input []byte) bool { return len(input) > 1 && input[0] == 0 && input[1] > 0 }
		withheld := test.history.Withhold([]byte(test.value), NoMessage)
		if got := withheld.Decide(withheld.Classify([]byte(test.follower), mayBeginMessage)); got != test.want {
			t.Errorf("%s: decision %d, want %d", test.name, got, test.want)
		}
	}
}

// The end of a connection says nothing about the replies before it. A value is served then unless its size says that it was
// cut short: no value had it, and all recent ones had frequent sizes.
func TestValueAtTheEndOfItsConnectionIsServedUnlessItsSizeIsUnusual(t *testing.T) {
	var various []received
	for size := range 300 {
		various = append(various, received{1, 100 + size})
	}
	for name, test := range map[string]struct {
		history *History
		want    Decision
	}{
		"no value before":         {historyOf(), Serve},
		"few values of one size":  {historyOf(received{recentValues - 1, 40}), Serve},
		"many values of one size": {historyOf(received{recentValues + frequentCount, 40}), Wait},
		"various sizes":           {historyOf(various...), Serve},
		"seen before":             {historyOf(received{1, 16}, received{100, 40}), Serve},
	} {
		withheld := test.history.Withhold(valueOf(16), NoMessage)
		if got := withheld.Decide(FollowerUnknown); got != Wait {
			t.Errorf("%s: decision %d before the end", name, got)
		}
		withheld.EndInput()
		if got := withheld.Decide(FollowerUnknown); got != test.want {
			t.Errorf("%s: decision %d at the end, want %d", name, got, test.want)
		}
	}
}
