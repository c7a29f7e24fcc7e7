package operator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An edit of legal size with 2.7 million sections was decoded as a whole.
func TestEditOfManySectionsIsRefused(t *testing.T) {
	decode := limitBody(decodeEdit)
	for body, reason := range map[string]string{
		`{"Sections":[{"Section":"a","Text":"b"}]}`:                       "",
		`{"Sections":[` + strings.Repeat("{},", maxSectionEdits) + `{}]}`: "body: sections: has more than 10000 elements",
		`{"Sections":[{"Section":"a","Color":"b"}]}`:                      `body: sections: element 0: json: unknown field "Color"`,
		`{"Sections":[{}],"Color":"b"}`:                                   `body: json: unknown field "Color"`,
		`{"Sections":[]}`:                                                 "an edit needs at least one section",
	} {
		_, err := decode(t.Context(), httptest.NewRequest(http.MethodPost, "/document", strings.NewReader(body)))
		if reason == "" {
			require.NoError(t, err)
			continue
		}
		require.EqualError(t, err, reason)
	}
}
