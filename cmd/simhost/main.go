// Command simhost runs instances of package control for the operators' simulator. It reads events from standard input
// and writes the instances' actions to standard output, in the text protocol of package simwire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sloestile/control"
	"sloestile/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := simwire.NewDecoder(in)
	w := bufio.NewWriterSize(out, 1<<16)
	instances := make(map[int]*control.Controller)
	var buf []byte
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = buf[:0]
		for _, in := range batch.Inputs {
			buf = handleInput(buf, instances, batch.Now, in)
		}
		if _, err := w.Write(simwire.AppendEnd(buf)); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handleInput passes one input to its instance and appends the instance's actions to buf. A panic of package control is
// reported as a bail_out of that instance. Inputs for an instance that was not started are ignored.
func handleInput(buf []byte, instances map[int]*control.Controller, now time.Duration, in simwire.Input) (res []byte) {
	res = buf
	defer func() {
		if p := recover(); p != nil {
			res = simwire.AppendBailOut(buf, in.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case in.Open != nil:
		delete(instances, in.Instance)
		c, err := control.New(in.Open.Settings, in.Open.Seed)
		if err != nil {
			return simwire.AppendBailOut(res, in.Instance, err.Error())
		}
		instances[in.Instance] = c
	case in.PowerOff:
		delete(instances, in.Instance)
	default:
		c := instances[in.Instance]
		if c == nil {
			return res
		}
		for _, a := range c.Handle(now, in.Event) {
			res = simwire.AppendAction(res, in.Instance, a)
		}
	}
	return res
}
