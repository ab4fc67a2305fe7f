package org.clementinepost.storage.config.source;

import org.clementinepost.api.config.ObjectKind;

/**
 * A field that names other objects.
 *
 * @param field a name or a list of names
 * @param targetKind the kind of the objects that it names
 */
public record ReferenceField(String field, ObjectKind targetKind) {}
