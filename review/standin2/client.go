package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialClient connects to the edge node.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads its answer; within limits both.
func (c *client) exchange(text string, within time.Duration) (status int, body string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c.conn, text); err != nil {
		return 0, "", err
	}
	return c.answer()
}

// answer reads one answer.
func (c *client) answer() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// markRetry marks the text of a request as a retry of its client if it is one.
func markRetry(text string, try int) string {
	if try == 0 {
		return text
	}
	return strings.Replace(text, "\r\nX-Weight", "\r\nX-Repeat: 1\r\nX-Weight", 1)
}
