// Package examples embeds the configuration documents of the two deployments that the
// router was written for.
package examples

import _ "embed" // for the documents

// Almaty is examples/almaty.jsonc.
//
//go:embed almaty.jsonc
var Almaty []byte

// Mexico is examples/mexico.jsonc.
//
//go:embed mexico.jsonc
var Mexico []byte
