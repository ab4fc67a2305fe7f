/** The messages between nodes; their encoding is in the module {@code wire}. */
package org.clementinepost.api.peer;
