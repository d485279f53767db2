/**
 * Calls to the control addresses of the stand-ins of a deployment.
 */
import { request } from 'undici'
import type { FaultKind } from '../faults/mod.ts'
import { buildHostListEntry } from './_layout.ts'
import type { Layout } from './_layout.ts'

/** Answers a write of a record. */
export interface RecordWriteResult {
  status: number
  /** The new revision, or the revision in the way of a conditional write. */
  revision: number
}

/** Calls the control addresses. */
export interface ControlClient {
  setFault (name: string, kind: FaultKind, ms?: number): Promise<void>
  readControlPage (name: string, path: string): Promise<Record<string, unknown>>
  writeRecord (key: string, value: object | null, ifRevision?: number): Promise<RecordWriteResult>
  setHostState (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void>
}

/** Creates the client; `controls` holds the control address of each stand-in by process name. */
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
    const answer = await send('config', method, `/v1/records/${key}`, value ?? undefined, headers)
    return { status: answer.status, revision: Number(answer.body.revision) }
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
