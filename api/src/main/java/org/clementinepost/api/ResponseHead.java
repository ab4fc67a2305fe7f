package org.clementinepost.api;

import io.vavr.collection.Vector;

/**
 * The head of a backend server's answer.
 *
 * @param status the HTTP status
 * @param headers the end-to-end header fields
 * @param server the backend server that answered
 * @param serverMicros the time that the backend server took to answer, without queue and network
 */
public record ResponseHead(
    int status, Vector<HeaderField> headers, BackendServerId server, long serverMicros) {}
