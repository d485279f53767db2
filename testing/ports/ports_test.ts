/**
 * Steps for finding free ports.
 */
import assert from 'node:assert/strict'
import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { Then, When } from '@cucumber/cucumber'

interface World {
  ports: number[]
}

const modulePath = fileURLToPath(new URL('./mod.js', import.meta.url))

/** Finds ports in a new process with the process identifier `pid`; the process keeps its block for as long as it runs. */
async function findPorts (count: number, pid: number): Promise<number[]> {
  const program = `
    Object.defineProperty(process, 'pid', { value: ${pid} })
    const { findFreePort } = await import(${JSON.stringify(modulePath)})
    const ports = []
    for (let i = 0; i < ${count}; i++) ports.push(await findFreePort())
    console.log(JSON.stringify(ports))
    setTimeout(() => {}, 500)`
  const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', program])
  return JSON.parse(stdout) as number[]
}

When('two processes with process identifiers close to each other find {int} ports each', async function (this: World, count: number) {
  this.ports = (await Promise.all([findPorts(count, 7_001), findPorts(count, 7_051)])).flat()
})

When('a process finds {int} ports', async function (this: World, count: number) {
  this.ports = await findPorts(count, 7_100)
})

Then('no port was found twice', function (this: World) {
  assert.equal(new Set(this.ports).size, this.ports.length)
})

Then('every port lies in the block of the process', function (this: World) {
  const blocks = new Set(this.ports.map((port) => Math.floor(port / 400)))
  assert.deepEqual(blocks.size, 1)
})
