#pragma once

#include <string_view>

namespace lacewinglock
{

/// JSON Schema (draft 7) of the configuration document. configuration_checks.cpp checks references and the limits that depend on several fields.
constexpr std::string_view configurationSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "organisations": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false,
        "properties": {
          "weight": {"type": "number", "exclusiveMinimum": 0, "maximum": 1000000},
          "limits": {
            "type": "object", "additionalProperties": false,
            "properties": {
              "tokens_per_second": {"type": "number", "minimum": 0, "maximum": 1e12},
              "burst_tokens": {"type": "number", "minimum": 0, "maximum": 1e12},
              "concurrent_requests": {"$ref": "#/definitions/count"}
            }
          }
        }
      }
    },
    "keys": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["organisation", "salt", "hash"],
        "properties": {
          "organisation": {"type": "string"},
          "salt": {"type": "string", "pattern": "^([0-9a-f][0-9a-f])+$"},
          "hash": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
          "withdrawn": {"type": "boolean"},
          "concurrent_requests": {"$ref": "#/definitions/count"}
        }
      }
    },
    "routes": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["kind", "group"],
        "properties": {
          "kind": {"enum": ["model", "service"]},
          "path_prefix": {"type": "string", "pattern": "^/[A-Za-z0-9._~/-]*$"},
          "methods": {"type": "array", "uniqueItems": true, "items": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]}},
          "open": {"type": "boolean"},
          "repeatable": {"type": "boolean"},
          "group": {"type": "string"},
          "model": {"type": "string", "minLength": 1},
          "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000}
        }
      }
    },
    "groups": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["kind"],
        "properties": {
          "kind": {"enum": ["model", "service"]},
          "model": {"type": "string", "minLength": 1},
          "min_endpoints": {"$ref": "#/definitions/count"},
          "max_endpoints": {"$ref": "#/definitions/count"},
          "cheap_share": {"type": "number", "minimum": 0, "maximum": 1}
        }
      }
    },
    "endpoints": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["group", "address", "failure_domain"],
        "properties": {
          "group": {"type": "string"},
          "address": {"type": "string"},
          "failure_domain": {"type": "string"},
          "reclaimable": {"type": "boolean"},
          "checks_fencing": {"type": "boolean"},
          "cost_per_hour": {"type": "number", "minimum": 0, "maximum": 1000000}
        }
      }
    },
    "failure_domains": {"type": "array", "uniqueItems": true, "items": {"$ref": "#/definitions/id"}},
    "cells": {
      "type": "object", "propertyNames": {"$ref": "#/definitions/id"},
      "additionalProperties": {
        "type": "object", "additionalProperties": false, "required": ["failure_domains"],
        "properties": {"failure_domains": {"type": "array", "uniqueItems": true, "items": {"type": "string"}}}
      }
    }
  },
  "definitions": {
    "id": {"type": "string", "pattern": "^[A-Za-z0-9._-]{1,128}$"},
    "count": {"type": "integer", "minimum": 0, "maximum": 1000000}
  }
})json";

}
