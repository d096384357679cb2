// Command runner is a runner of a deployment: a process of its own, which a script may
// kill. Its answers have no length and end with their connection, as our pages allow, but
// for those to prompts, which are streams in chunks.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	pieces = 8
	// pause is the time before each piece of an answer.
	pause = 250 * time.Millisecond
	// promptTime is the time to the first event of the answer to a prompt.
	promptTime = 300 * time.Millisecond
	deadlyPart = "dead:"
)

// Piece returns piece n of the answer to a request.
func piece(id string, n int, isStream bool) string {
	end := ""
	if n == pieces {
		end = " the end"
	}
	if isStream {
		return fmt.Sprintf("id: %d\ndata: %s/%d%s\n\n", n, id, n, end)
	}
	return fmt.Sprintf("%s/%d%s\n", id, n, end)
}

func serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != os.Args[2] {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if parts := r.Header.Get("Prompt-Prefix"); parts != "" {
		servePrompt(w, id, parts)
		return
	}
	isStream := strings.HasPrefix(r.URL.Path, "/stream/")
	contentType := "text/plain"
	if isStream {
		contentType = "text/event-stream"
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	note("run %s", id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\n\r\n", contentType, id, id)
	if !write(conn, head) {
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= pieces; n++ {
		time.Sleep(pause)
		if !write(conn, piece(id, n, isStream)) {
			return
		}
		note("piece %s %d", id, n)
	}
}

// servePrompt answers a prompt. It ends the process, as a crash does, when it begins to write
// an answer on a part that crashes runners.
func servePrompt(w http.ResponseWriter, id, parts string) {
	note("run %s", id)
	time.Sleep(promptTime)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // fails only if the daemon has left
	if strings.Contains(parts, deadlyPart) {
		note("crash %s", id)
		os.Exit(1)
	}
	for n := 1; n <= pieces; n++ {
		if _, err := io.WriteString(w, piece(id, n, true)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(promptTime / pieces)
	}
}

func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// note tells the script what the runner has done.
func note(format string, args ...any) { _, _ = fmt.Printf(format+"\n", args...) }

func main() {
	server := http.Server{Addr: os.Args[1], Handler: http.HandlerFunc(serve), ReadHeaderTimeout: time.Minute}
	if err := server.ListenAndServe(); err != nil {
		note("%s", err)
		os.Exit(1)
	}
}
