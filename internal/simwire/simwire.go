// Package simwire runs Schedulers in the simulator: it decodes each line of the simulator's wire into an event of a
// Scheduler, and encodes what the Scheduler asks of its Host. It decides nothing.
//
// A line is a message: its name and its fields with tabs between them. Messages come in batches of one moment of
// the simulation's clock. In a batch some go to instances, each one co-ordinator; when the batch ends, each
// instance that was selected in it decides, and one reply has what all of them ask for.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const bufferSize = 1 << 20 // bytes, for input and output each

// server is the state of one run.
type server struct {
	in        *bufio.Reader
	line      int   // the last one read, from 1
	clock     int64 // microseconds, of the present batch
	pages     map[int64][]listedEndpoint
	instances map[int64]*instance
	active    []*instance // those selected in this batch, in order of their first selection
	selected  *instance   // nil: none yet in this batch
}

// Serve answers batches until the input ends. It returns nil if that happens between batches, an *InputError for
// input that cannot be read, and otherwise the error of reading or writing.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{
		in:        bufio.NewReaderSize(in, bufferSize),
		pages:     map[int64][]listedEndpoint{},
		instances: map[int64]*instance{},
	}
	writer := bufio.NewWriterSize(out, bufferSize)
	for {
		header, err := s.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		number, err := s.batch(header)
		if err != nil {
			return err
		}
		s.reply(writer, number)
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// read takes the next line apart. The error is io.EOF itself where the input ends between lines.
func (s *server) read() (*fields, error) {
	text, err := s.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return nil, io.EOF
	}
	s.line++
	if errors.Is(err, io.EOF) {
		return nil, s.fail("cut off")
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", s.line, err)
	}
	values := strings.Split(strings.TrimSuffix(text, "\n"), "\t")
	return &fields{line: s.line, message: values[0], left: values[1:]}, nil
}

// fail is a fault of the input as a whole at the present line.
func (s *server) fail(reason string) error { return &InputError{Line: s.line, Reason: reason} }

// batch takes the messages of a batch, has the active instances decide and returns the batch's number.
func (s *server) batch(header *fields) (number int64, err error) {
	if header.message != batchBegins {
		return 0, header.fail("not inside a batch")
	}
	s.clock = header.integer("clock")
	number = header.integer("batch number")
	if header.err != nil {
		return 0, header.err
	}
	for {
		message, err := s.read()
		if errors.Is(err, io.EOF) {
			return 0, s.fail("the input ends inside a batch")
		}
		if err != nil {
			return 0, err
		}
		if message.message == batchEnds {
			break
		}
		if err := s.take(message); err != nil {
			return 0, err
		}
	}
	for _, instance := range s.active {
		instance.decide(s.clock)
	}
	return number, nil
}

// reply writes what the active instances ask for, and makes ready for the next batch.
func (s *server) reply(out io.Writer, number int64) {
	for _, instance := range s.active {
		if instance.reply.Len() > 0 {
			fmt.Fprintf(out, "%s\t%d\n%s", instanceAnswers, instance.number, instance.reply.String())
		}
		instance.reply.Reset()
		instance.active = false
	}
	s.active = s.active[:0]
	s.selected = nil
	fmt.Fprintf(out, "%s\t%d\n", batchAnswered, number)
}

// take takes one message within a batch.
func (s *server) take(message *fields) error {
	switch message.message {
	case instanceSelected:
		return s.selectInstance(message)
	case pageBegins:
		return s.readPage(message)
	case batchBegins, pageEntry:
		return message.fail("out of place")
	}
	if !isForInstance(message.message) {
		return message.fail("unknown message")
	}
	if s.selected == nil {
		return message.fail("outside an instance")
	}
	switch message.message {
	case instanceStarts:
		return s.startInstance(message)
	case instanceStops:
		s.selected.stop()
		return nil
	}
	received := decoders[message.message](s, message)
	if message.err != nil {
		return message.err
	}
	s.selected.take(received, s.clock)
	return nil
}

func isForInstance(message string) bool {
	_, isEvent := decoders[message]
	return isEvent || message == instanceStarts || message == instanceStops
}

func (s *server) selectInstance(message *fields) error {
	number := message.integer("co-ordinatorId")
	if message.err != nil {
		return message.err
	}
	selected := s.instances[number]
	if selected == nil {
		selected = &instance{number: number}
		s.instances[number] = selected
	}
	if !selected.active {
		selected.active = true
		s.active = append(s.active, selected)
	}
	s.selected = selected
	return nil
}

func (s *server) startInstance(message *fields) error {
	seed := message.integer("salt")
	if message.err != nil {
		return message.err
	}
	settings := make(map[string]string, len(message.left))
	for _, pair := range message.left {
		path, value, found := strings.Cut(pair, settingSeparator)
		if !found {
			return message.fail("field setup: %q is no path=value pair", pair)
		}
		settings[path] = value
	}
	s.selected.start(s.clock, uint64(seed), settings)
	return nil
}
