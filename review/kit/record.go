package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with seconds since the start.
type recorder struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	writer  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

func (r *recorder) add(fields ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f", time.Since(r.started).Seconds())
	for _, field := range fields {
		line += " " + strings.ReplaceAll(fmt.Sprint(field), "\n", " ")
	}
	_, _ = r.writer.WriteString(line + "\n")
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
