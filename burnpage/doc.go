// Package burnpage renders burn reports as one self-contained HTML page with
// embedded SVG plots. The page loads no other resources.
package burnpage
