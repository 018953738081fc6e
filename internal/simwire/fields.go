package simwire

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"terntray/internal/wire"
	"terntray/scheduler"
)

// InputError describes an invalid line of the input.
type InputError struct {
	Line    int    // from 1
	Message string // name of the message in the line; empty: the error concerns no single message
	Reason  string
}

// Error returns the line number, the name of the message if there is one, and the reason.
func (e *InputError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Message, e.Reason)
}

// fields decodes the values of one message in order. It keeps the first error; values decoded after it are meaningless.
type fields struct {
	line      int
	name      string // of the message
	remaining []string
	err       error
}

// fail records an error unless there is one already, and returns the recorded error.
func (f *fields) fail(format string, args ...any) error {
	if f.err == nil {
		f.err = &InputError{Line: f.line, Message: f.name, Reason: fmt.Sprintf(format, args...)}
	}
	return f.err
}

func (f *fields) text(field string) string {
	if len(f.remaining) == 0 {
		f.fail("field %s is missing", field)
		return ""
	}
	value := f.remaining[0]
	f.remaining = f.remaining[1:]
	return value
}

func (f *fields) integer(field string) int64 {
	value := f.text(field)
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail("field %s: %q is not an integer", field, value)
	}
	return number
}

// integerOr decodes an integer, or returns absent if the field is marked as absent.
func (f *fields) integerOr(field string, absent int64) int64 {
	if len(f.remaining) > 0 && f.remaining[0] == absentValue {
		f.remaining = f.remaining[1:]
		return absent
	}
	return f.integer(field)
}

// duration decodes an integer number of microseconds.
func (f *fields) duration(field string) time.Duration { return microseconds(f.integer(field)) }

func (f *fields) id(field string) uint32 {
	number := f.integer(field)
	if number < 0 || number > math.MaxUint32 {
		f.fail("field %s: %d is not an id", field, number)
	}
	return uint32(number)
}

// number decodes a finite number, or returns 0 if the field is marked as absent.
func (f *fields) number(field string) float64 {
	value := f.text(field)
	if value == absentValue {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail("field %s: %q is not a number", field, value)
	}
	return number
}

// checkBool validates a field whose value is not used.
func (f *fields) checkBool(field string) {
	value := f.text(field)
	if !slices.Contains([]string{boolFalse, boolTrue, absentValue}, value) {
		f.fail("field %s: %q is neither 0 nor 1", field, value)
	}
}

func (f *fields) outcome(field string) scheduler.Outcome {
	number := f.integer(field)
	outcome, known := outcomes[number]
	if !known {
		f.fail("field %s: unknown value %d", field, number)
	}
	return outcome
}

// noLoad is the result of load for a report that states no load.
const noLoad = -1.0

// load decodes a replica's load report and returns the share of its cores in use, from 0 to 1, or noLoad.
func (f *fields) load(field string) float64 {
	report := f.text(field)
	if report == absentValue || report == "" {
		return noLoad
	}
	for pair := range strings.SplitSeq(report, ",") {
		_, value, found := strings.Cut(pair, loadSeparator)
		if _, err := strconv.ParseFloat(value, 64); !found || err != nil {
			f.fail("field %s: %q is not a name:value pair", field, pair)
			return noLoad
		}
	}
	return wire.ParseLoadReport(report, loadSeparator)
}

func microseconds(number int64) time.Duration { return time.Duration(number) * time.Microsecond }
