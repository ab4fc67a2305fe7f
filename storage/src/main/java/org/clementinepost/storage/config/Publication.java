package org.clementinepost.storage.config;

/**
 * Published version of the configuration.
 *
 * @param version the version
 * @param stamp the operator, time and purpose of the publication
 * @param deltaObject the key of the object that holds the version's delta
 * @param fullVersion the newest version up to this one that is stored as a full snapshot
 * @param fullObject the key of the object that holds that full snapshot
 */
public record Publication(
    long version,
    PublicationStamp stamp,
    String deltaObject,
    long fullVersion,
    String fullObject) {}
