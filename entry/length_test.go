package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hyssopladder/hyssopladder/upstream"
)

// TestWholeAnswersNameTheirLength guards against half an answer that looks whole to a caller that
// knows no chunks.
func TestWholeAnswersNameTheirLength(t *testing.T) {
	g := gomega.NewWithT(t)
	plain, chat := httptest.NewRecorder(), httptest.NewRecorder()
	g.Expect((&plainResponse{status: http.StatusOK, body: make([]byte, 8<<10)}).write(plain, time.Second)).To(gomega.Succeed())
	g.Expect(newSink(chat, &chatRequest{}, position{}, false, time.Second).end(0, &upstream.Announcement{})).To(gomega.Succeed())
	for _, w := range []*httptest.ResponseRecorder{plain, chat} {
		g.Expect(w.Header().Get("Content-Length")).To(gomega.Equal(strconv.Itoa(w.Body.Len())))
	}
}
