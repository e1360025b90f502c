package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
)

// Headers of the engine dialect.
const (
	HeaderRequestID  = "Hazel-Request-Id"
	HeaderNotStarted = "Hazel-Not-Started"
	HeaderResume     = "Hazel-Resume"
	HeaderLoad       = "Hazel-Load"
	HeaderLeaving    = "Hazel-Leaving"
)

const maxBodyBytes = 8 << 20

type completionRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// tokensPattern finds the wanted length of the answer in a prompt.
var tokensPattern = regexp.MustCompile(`tokens=(\d+)`)

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.setCommonHeaders(w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" {
		refuse(w, http.StatusBadRequest, HeaderRequestID+" is missing")
		return
	}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		e.resume(w, r, id, last)
		return
	}
	if e.currentFaults().RefuseNotStarted {
		refuse(w, http.StatusServiceUnavailable, "refused by fault")
		return
	}
	if !e.serves(request.Model) {
		refuse(w, http.StatusNotFound, "model "+request.Model+" is not loaded")
		return
	}
	j, ok := e.start(id, request)
	if !ok {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	if request.Stream {
		e.stream(w, r, j, 0)
		return
	}
	e.whole(w, r, j)
}

// refuse answers an error together with the word that nothing was started.
func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(HeaderNotStarted, "true")
	http.Error(w, text, status)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id, last string) {
	index, err := strconv.Atoi(last)
	if err != nil {
		refuse(w, http.StatusBadRequest, "Last-Event-ID is not a number")
		return
	}
	e.mu.Lock()
	j, ok := e.jobs[id]
	noResume := e.faults.NoResume
	e.mu.Unlock()
	if !ok || noResume {
		refuse(w, http.StatusNotFound, "no such stream")
		return
	}
	e.stream(w, r, j, index+1)
}

func (e *Engine) setCommonHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(HeaderLoad, fmt.Sprintf("running=%d, waiting=%d, slots=%d", e.running, e.waiting, e.opts.Slots))
	if e.isLeaving() {
		w.Header().Set(HeaderLeaving, "true")
	}
	if !e.faults.NoResume {
		w.Header().Set(HeaderResume, "true")
	}
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	_ = out.Flush()
	faults := e.currentFaults()
	for index := from; ; index++ {
		event, ok := j.wait(r.Context(), index)
		if !ok {
			return
		}
		if faults.DropAfter > 0 && index-from >= faults.DropAfter {
			panic(http.ErrAbortHandler)
		}
		if faults.HangAfter > 0 && index-from >= faults.HangAfter {
			<-r.Context().Done()
			return
		}
		writeEvent(w, index, event)
		if faults.Duplicate {
			writeEvent(w, index, event)
		}
		if faults.Foreign {
			writeEvent(w, index+1, strings.ReplaceAll(event, j.id, "another-request"))
		}
		if err := out.Flush(); err != nil {
			return
		}
		if event == doneEvent {
			return
		}
	}
}

func writeEvent(w io.Writer, index int, event string) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, event)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, j *job) {
	if !j.waitDone(r.Context()) {
		return
	}
	if status := e.currentFaults().FailStatus; status != 0 {
		http.Error(w, "failed by fault", status)
		return
	}
	text, use := j.result()
	reason := j.finishReason()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID:      j.id,
		Object:  "chat.completion",
		Created: j.created,
		Model:   j.model,
		Choices: []choice{{Message: &delta{Role: "assistant", Content: text}, FinishReason: &reason}},
		Usage:   &use,
	})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.setCommonHeaders(w)
	e.mu.Lock()
	j, ok := e.jobs[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	j.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.placed.Models {
		if m == model {
			return true
		}
	}
	return false
}

// promptLength estimates the input tokens as one for four bytes, rounded up.
func promptLength(messages []message) int {
	bytes := 0
	for _, m := range messages {
		bytes += len(m.Content)
	}
	return (bytes + 3) / 4
}

func wantedTokens(messages []message, fallback int) int {
	for _, m := range messages {
		match := tokensPattern.FindSubmatch(m.Content)
		if match == nil {
			continue
		}
		n, err := strconv.Atoi(string(match[1]))
		if err == nil {
			return n
		}
	}
	return fallback
}
