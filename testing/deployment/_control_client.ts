/**
 * HTTP client of the control addresses of a deployment's stand-ins.
 */
import { request } from 'undici'
import type { FaultKind } from '../faults/mod.ts'
import { buildHostListEntry } from './_layout.ts'
import type { Layout } from './_layout.ts'

/** The response to a write of a configuration record. */
export interface RecordWriteResult {
  /** HTTP status; 409 when a conditional write is refused. */
  status: number
  /** The new revision, or the current revision of the record when a conditional write is refused. */
  revision: number
}

/** Sends requests to the control addresses of stand-ins, which are named as the processes of the deployment are. */
export interface ControlClient {
  /** Switches a fault on for `ms` milliseconds; 0, the default, keeps it on until it is cleared. */
  setFault (name: string, kind: FaultKind, ms?: number): Promise<void>
  /** Reads the JSON object at a path of a control address. */
  readControlPage (name: string, path: string): Promise<Record<string, unknown>>
  /** Writes a record, or deletes it when the value is null; with `ifRevision`, only when the record is at that revision. */
  writeRecord (key: string, value: object | null, ifRevision?: number): Promise<RecordWriteResult>
  /** Sets the state of an entry or agent on the host list, `gone` removes it; throws when the deployment has no such host. */
  setHostState (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void>
}

/** Creates a control client; `controls` holds the control address `ip:port` of each stand-in by process name. */
export function createControlClient (layout: Layout, controls: Map<string, string>): ControlClient {
  async function send (name: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string,
    body?: unknown, headers: Record<string, string> = {}) {
    const text = body === undefined ? null : JSON.stringify(body)
    const res = await request(`http://${controls.get(name)}${path}`, { method, headers, body: text })
    return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> }
  }

  async function writeRecord (key: string, value: object | null, ifRevision?: number): Promise<RecordWriteResult> {
    const headers: Record<string, string> = ifRevision === undefined ? {} : { 'if-revision': String(ifRevision) }
    const method = value === null ? 'DELETE' : 'PUT'
    const response = await send('config', method, `/v1/records/${key}`, value ?? undefined, headers)
    return { status: response.status, revision: Number(response.body.revision) }
  }

  async function setHostState (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    const path = `/v1/hosts/${name}`
    if (state === 'gone') {
      await send('hosts', 'DELETE', path)
      return
    }
    const entry = layout.entries.find((host) => host.name === name)
    const host = entry ?? layout.backends.find((backend) => backend.name === name)
    if (!host) throw new Error(`host "${name}" does not exist in the deployment`)
    await send('hosts', 'PUT', path, buildHostListEntry(host, entry ? 'entry' : 'agent', state))
  }

  return {
    setFault: async (name, kind, ms = 0) => { await send(name, 'POST', '/fault', { kind, ms }) },
    readControlPage: async (name, path) => (await send(name, 'GET', path)).body,
    writeRecord,
    setHostState
  }
}
