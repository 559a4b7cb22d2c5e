package api

import _ "embed"

// OpenAPI is the OpenAPI document of the administration API.
//
//go:embed openapi.yaml
var OpenAPI []byte
