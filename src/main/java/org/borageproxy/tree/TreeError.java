package org.borageproxy.tree;

/**
 * An error in a document. Immutable and thread safe.
 *
 * @param path the dotted path of the faulty value, empty for a syntax error
 * @param line the line in the document, counted from one, or zero if unknown
 * @param message the description shown to operators
 */
public record TreeError(String path, int line, String message) {}
