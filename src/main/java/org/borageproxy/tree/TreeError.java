package org.borageproxy.tree;

/**
 * Something wrong in a document. Immutable and thread safe.
 *
 * @param path the path of the faulty value
 * @param line the line in the document, counted from 1, or 0 if the fault has no line
 * @param message what is wrong
 */
public record TreeError(String path, int line, String message) {}
