package org.clementinepost.api;

/** A header field of a request or response. */
public record HeaderField(String name, String value) {}
