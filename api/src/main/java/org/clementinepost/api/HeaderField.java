package org.clementinepost.api;

/** One header field of a request or an answer. */
public record HeaderField(String name, String value) {}
