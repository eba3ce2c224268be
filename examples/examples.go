// Package examples holds the configuration of the two tenants of today, which
// the demo runs.
//
// # Usage
//
//	cfg, err := tenant.Parse("bennani.jsonc", examples.Bennani)
package examples

import _ "embed" // for the files below

// Bennani is the document of Bennani Frères.
//
//go:embed bennani.jsonc
var Bennani []byte

// Himsagar is the document of Himsagar Telemetrics.
//
//go:embed himsagar.jsonc
var Himsagar []byte

// Tenants are the documents of all tenants.
var Tenants = [][]byte{Bennani, Himsagar}
