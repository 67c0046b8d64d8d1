package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

// validFrame returns the frame of a small message.
func validFrame(t testing.TB) []byte {
	t.Helper()
	frame, err := encodeMessage(&message{Kind: kindRequest, ID: 7, Method: "m", RemainingMS: 5, Body: []byte{0x80}}, 100)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestReadFrameRejects(t *testing.T) {
	change := func(at int, to byte) []byte {
		f := validFrame(t)
		f[at] = to
		return f
	}
	cases := map[string]struct {
		frame []byte
		want  error
	}{
		"oversized": {change(0, 1), ErrFrame},
		"format":    {change(4, 9), ErrFrame},
		"checksum":  {change(headerSize+1, 0x55), ErrFrame},
		"truncated": {validFrame(t)[:headerSize+2], io.ErrUnexpectedEOF},
		"header":    {validFrame(t)[:5], io.ErrUnexpectedEOF},
		"empty":     {nil, io.EOF},
	}
	for name, tc := range cases {
		if _, err := readFrame(bytes.NewReader(tc.frame), 100); !errors.Is(err, tc.want) {
			t.Errorf("%s: unexpected error %v", name, err)
		}
	}
}

func TestCommonVersion(t *testing.T) {
	cases := []struct {
		a, b []uint32
		want uint32
	}{{[]uint32{1, 2}, []uint32{2, 3}, 2}, {[]uint32{1}, []uint32{2}, 0}, {[]uint32{1, 2}, []uint32{1, 2}, 2}, {nil, nil, 0}}
	for _, tc := range cases {
		if got := commonVersion(tc.a, tc.b); got != tc.want {
			t.Errorf("commonVersion(%v, %v) = %d, want %d", tc.a, tc.b, got, tc.want)
		}
	}
}

// FuzzFrame checks that invalid streams return errors and that accepted frames
// survive a round trip.
func FuzzFrame(f *testing.F) {
	f.Add(validFrame(f))
	f.Add([]byte{0, 0, 0, 1, 1})
	f.Fuzz(func(t *testing.T, stream []byte) {
		const limit = 1 << 10
		body, err := readFrame(bytes.NewReader(stream), limit)
		if err != nil {
			return
		}
		if len(body) > limit || !bytes.Equal(stream[headerSize:headerSize+len(body)], body) {
			t.Fatalf("accepted a body of %d bytes that exceeds the limit or differs from the stream", len(body))
		}
		m, err := decodeMessage(body)
		if err != nil {
			return
		}
		reencoded, err := encodeMessage(m, 4*limit)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readFrame(bytes.NewReader(reencoded), 4*limit); err != nil {
			t.Fatal(err)
		}
	})
}
