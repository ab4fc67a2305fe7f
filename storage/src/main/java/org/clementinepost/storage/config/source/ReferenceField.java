package org.clementinepost.storage.config.source;

import org.clementinepost.api.config.ObjectKind;

/**
 * Field that names other objects.
 *
 * @param field the name of the field, whose value is a name or a list of names
 * @param targetKind the kind of the objects that it names
 */
public record ReferenceField(String field, ObjectKind targetKind) {}
