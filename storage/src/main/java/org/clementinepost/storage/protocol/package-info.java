/**
 * JSON encoding of the table service's protocol, for its clients and for stand-ins of the platform.
 */
package org.clementinepost.storage.protocol;
