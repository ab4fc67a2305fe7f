package org.clementinepost.storage;

/**
 * The table service and the object store of the platform.
 *
 * @param table the transactional table
 * @param objects the object store
 */
public record Platform(TableService table, ObjectStore objects) {}
