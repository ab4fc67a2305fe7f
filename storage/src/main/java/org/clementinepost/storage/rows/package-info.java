/** Small tables that nodes read completely and then keep up to date change by change. */
package org.clementinepost.storage.rows;
