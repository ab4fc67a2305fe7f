/** Reads, validates and documents the settings of a node. */
package org.clementinepost.node.settings;
