/** Storage of the configuration on the platform: snapshots, deltas, the head item, publications. */
package org.clementinepost.storage.config;
