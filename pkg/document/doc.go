// Package document defines the document in which operators declare their
// services, batch jobs, failure domains, instances and quotas.
//
// A document is a set of sections, and each section is owned by one team. The
// text of a document is a YAML stream with one YAML document per section and
// with keys in Pascal case. Parse reads the text. Check applies the rules on
// values and names, also those that span sections, such as references. Both
// report errors as findings with line and column. Render writes the canonical
// text: parsing and rendering it again gives the same text.
//
// Values of this package are immutable by convention: an edit creates a new
// Document that shares the unchanged sections with the old one.
package document
