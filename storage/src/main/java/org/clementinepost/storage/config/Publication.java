package org.clementinepost.storage.config;

/**
 * One version that was published.
 *
 * @param version the version
 * @param stamp who published it, when and why
 * @param deltaObject the object that holds what the version changes
 * @param fullVersion the newest version, up to this one, that is stored whole
 * @param fullObject the object that holds that version whole
 */
public record Publication(
    long version,
    PublicationStamp stamp,
    String deltaObject,
    long fullVersion,
    String fullObject) {}
