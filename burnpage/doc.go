// Package burnpage renders burn reports as one HTML page that needs nothing
// else: the plots are SVG within it, and it loads nothing from anywhere.
package burnpage
