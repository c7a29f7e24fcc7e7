// Package document defines the long document by which operators describe their
// services, batch jobs, failure domains, instances and quotas.
//
// A document is a set of sections, and each section is owned by one team. Its
// written form is a YAML stream with one YAML document per section and with
// keys in Pascal case. Parse reads that form and collects every finding with
// its line and column; Check applies the rules that span sections; Render
// writes the canonical form, which is stable under parsing.
//
// Values of this package are immutable by convention: an edit makes a new
// Document that shares the untouched sections with the old one.
package document
