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

// InputError says what is wrong with a line of the input.
type InputError struct {
	Line    int    // from 1
	Message string // the name of the message in it; empty: the line has none
	Reason  string
}

func (e *InputError) Error() string {
	if e.Message == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Message, e.Reason)
}

// fields hands out the values of one message in order. It keeps the first fault; what it hands out after one means
// nothing.
type fields struct {
	line    int
	message string
	left    []string
	err     error
}

// fail notes a fault, unless there was one before, and returns the one that is kept.
func (f *fields) fail(format string, args ...any) error {
	if f.err == nil {
		f.err = &InputError{Line: f.line, Message: f.message, Reason: fmt.Sprintf(format, args...)}
	}
	return f.err
}

func (f *fields) text(field string) string {
	if len(f.left) == 0 {
		f.fail("field %s is missing", field)
		return ""
	}
	value := f.left[0]
	f.left = f.left[1:]
	return value
}

func (f *fields) integer(field string) int64 {
	value := f.text(field)
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail("field %s: %q is no integer", field, value)
	}
	return number
}

// integerOr is an integer, otherwise if the field is marked as absent.
func (f *fields) integerOr(field string, otherwise int64) int64 {
	if len(f.left) > 0 && f.left[0] == absentValue {
		f.left = f.left[1:]
		return otherwise
	}
	return f.integer(field)
}

// span is an integer of microseconds.
func (f *fields) span(field string) time.Duration { return microseconds(f.integer(field)) }

func (f *fields) id(field string) uint32 {
	number := f.integer(field)
	if number < 0 || number > math.MaxUint32 {
		f.fail("field %s: %d is no id", field, number)
	}
	return uint32(number)
}

// number is 0 if the field is marked as absent.
func (f *fields) number(field string) float64 {
	value := f.text(field)
	if value == absentValue {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail("field %s: %q is no number", field, value)
	}
	return number
}

// skipBool checks a field that is of no use here.
func (f *fields) skipBool(field string) {
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

// noLoad is what load gives where a report tells none.
const noLoad = -1.0

// load is the share of its cores in use that a replica's load report tells, from 0 to 1, or noLoad.
func (f *fields) load(field string) float64 {
	report := f.text(field)
	if report == absentValue || report == "" {
		return noLoad
	}
	for pair := range strings.SplitSeq(report, ",") {
		_, figure, found := strings.Cut(pair, loadSeparator)
		if _, err := strconv.ParseFloat(figure, 64); !found || err != nil {
			f.fail("field %s: %q is no name:value pair", field, pair)
			return noLoad
		}
	}
	return wire.ParseLoadReport(report, loadSeparator)
}

func microseconds(number int64) time.Duration { return time.Duration(number) * time.Microsecond }
