/** The MessagePack encoding of the messages between nodes. */
package org.clementinepost.wire;
