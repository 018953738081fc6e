// Package simwire runs Schedulers in the simulator. It decodes the lines of the simulator's protocol into events for a
// Scheduler and encodes what the Scheduler requests from its Host. It makes no decisions.
//
// Each line is one message: its name and its fields, separated by tabs. Messages are grouped into batches, each for one
// time of the simulation's clock. An instance is one co-ordinator. Within a batch, messages define endpoint
// lists, select an instance, or are addressed to the selected instance. At the end of the batch every instance selected
// in it decides, and one reply contains the requests of all of them.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

const ioBufferSize = 1 << 20 // bytes, for each of input and output

// server is the state of one run.
type server struct {
	reader        *bufio.Reader
	line          int   // number of the last line read, from 1
	clock         int64 // microseconds; time of the current batch
	endpointLists map[int64][]listedEndpoint
	instances     map[int64]*instance
	active        []*instance // selected in the current batch, in order of first selection
	selected      *instance   // nil: none yet in the current batch
}

// Serve answers batches until the input ends. It returns nil if the input ends between batches, an *InputError for
// invalid input, and otherwise the error of reading or writing.
func Serve(input io.Reader, output io.Writer) error {
	s := &server{
		reader:        bufio.NewReaderSize(input, ioBufferSize),
		endpointLists: map[int64][]listedEndpoint{},
		instances:     map[int64]*instance{},
	}
	writer := bufio.NewWriterSize(output, ioBufferSize)
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

// read reads and splits the next line. The error is io.EOF itself if the input ends between lines.
func (s *server) read() (*fields, error) {
	text, err := s.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return nil, io.EOF
	}
	s.line++
	if errors.Is(err, io.EOF) {
		return nil, s.fail("input ends inside a line")
	}
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", s.line, err)
	}
	values := strings.Split(strings.TrimSuffix(text, "\n"), "\t")
	return &fields{line: s.line, name: values[0], remaining: values[1:]}, nil
}

// fail returns an error at the current line that concerns no single message.
func (s *server) fail(reason string) error { return &InputError{Line: s.line, Reason: reason} }

// batch handles the messages of a batch, makes the active instances decide and returns the batch's number.
func (s *server) batch(header *fields) (number int64, err error) {
	if header.name != batchBegins {
		return 0, header.fail("message outside a batch")
	}
	s.clock = header.integer("clock")
	number = header.integer("batch number")
	if header.err != nil {
		return 0, header.err
	}
	for {
		message, err := s.read()
		if errors.Is(err, io.EOF) {
			return 0, s.fail("input ends inside a batch")
		}
		if err != nil {
			return 0, err
		}
		if message.name == batchEnds {
			break
		}
		if err := s.handle(message); err != nil {
			return 0, err
		}
	}
	for _, instance := range s.active {
		instance.decide(s.clock)
	}
	return number, nil
}

// reply writes the replies of the active instances and resets the state of the batch.
func (s *server) reply(writer io.Writer, number int64) {
	for _, instance := range s.active {
		if instance.reply.Len() > 0 {
			fmt.Fprintf(writer, "%s\t%d\n%s", instanceAnswers, instance.number, instance.reply.String())
		}
		instance.reply.Reset()
		instance.active = false
	}
	s.active = s.active[:0]
	s.selected = nil
	fmt.Fprintf(writer, "%s\t%d\n", batchAnswered, number)
}

// handle handles one message within a batch.
func (s *server) handle(message *fields) error {
	switch message.name {
	case instanceSelected:
		return s.selectInstance(message)
	case listBegins:
		return s.readEndpointList(message)
	case batchBegins, listEntry:
		return message.fail("unexpected message")
	}
	if !isForInstance(message.name) {
		return message.fail("unknown message")
	}
	if s.selected == nil {
		return message.fail("no instance is selected")
	}
	switch message.name {
	case instanceStarts:
		return s.startInstance(message)
	case instanceStops:
		s.selected.stop()
		return nil
	}
	received := decoders[message.name](s, message)
	if message.err != nil {
		return message.err
	}
	s.selected.handle(received, s.clock)
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
	settings := make(map[string]string, len(message.remaining))
	for _, pair := range message.remaining {
		path, value, found := strings.Cut(pair, settingSeparator)
		if !found {
			return message.fail("field setup: %q is not a path=value pair", pair)
		}
		settings[path] = value
	}
	s.selected.start(s.clock, uint64(seed), settings)
	return nil
}
