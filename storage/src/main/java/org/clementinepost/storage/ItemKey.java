package org.clementinepost.storage;

/**
 * The key of one item of the table.
 *
 * @param partition the items of one partition can be read together
 * @param sort tells items of a partition apart, and orders them
 */
public record ItemKey(String partition, String sort) {}
