package org.clementinepost.storage;

/**
 * Both halves of the platform.
 *
 * @param table the transactional table
 * @param objects the object store
 */
public record Platform(TableService table, ObjectStore objects) {}
