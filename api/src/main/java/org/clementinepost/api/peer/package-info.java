/** The messages between nodes, apart from their encoding. */
package org.clementinepost.api.peer;
