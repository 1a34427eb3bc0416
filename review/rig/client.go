package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// caller is a client with one connection, which it keeps for many requests.
type caller struct {
	address  string
	conn     net.Conn
	reader   *bufio.Reader
	answered int
}

// sent is one request and what came back: status 0 if the connection ended without a
// whole answer.
type sent struct {
	id      string
	at      time.Time
	kept    bool
	started bool
	status  int
	seal    string
	body    string
	err     error
}

// do sends a request and reads its answer. It opens a connection if there is none.
func (c *caller) do(id, method, path, host, body string, header map[string]string) sent {
	s := sent{id: id}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			s.err = err
			return s
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	s.kept, s.at = c.answered > 0, time.Now()
	response, err := c.send(id, method, path, host, body, header)
	if err == nil {
		s.started = true
		var data []byte
		data, err = io.ReadAll(response.Body)
		s.body, s.seal = string(data), response.Header.Get("X-Replica-Seal")
	}
	if err != nil {
		s.err = err
		c.close()
		return s
	}
	s.status = response.StatusCode
	c.answered++
	if response.Close {
		c.close()
	}
	return s
}

// send writes a request and reads the head of the answer.
func (c *caller) send(id, method, path, host, body string, header map[string]string) (*http.Response, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", method, path, host, id)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// stream opens a connection, sends a request and passes each whole event of its answer
// on. It returns the status, and whether the answer ended as complete.
func stream(address, id, path, host, body string, header map[string]string, event func(number int, data string)) (status int, complete bool, err error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = conn.Close() }()
	c := &caller{conn: conn, reader: bufio.NewReader(conn)}
	response, err := c.send(id, http.MethodPost, path, host, body, header)
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode, false, nil
	}
	lines := bufio.NewReader(response.Body)
	number, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return response.StatusCode, line == "" && data == "", nil
		}
		if err != nil {
			return response.StatusCode, false, err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			number, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			data = strings.TrimSpace(line[5:])
		case line == "":
			event(number, data)
			data = ""
		}
	}
}
