/** The configuration objects that operators edit, and immutable snapshots of them. */
package org.clementinepost.api.config;
