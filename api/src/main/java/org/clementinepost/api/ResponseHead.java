package org.clementinepost.api;

import io.vavr.collection.Vector;

/**
 * The head of a backend server's answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param server the backend server that answered
 */
public record ResponseHead(int status, Vector<HeaderField> headers, BackendServerId server) {}
